/**
 * Frames between an entry and an agent.  docs/protocol.md gives the rules; every
 * connection starts with Hello and Proof in both directions.
 * Compiled with: make generate
 */
namespace py siskinthread.wire._generated.frames

enum OutcomeCode {
  ANSWERED = 1,
  REFUSED_NOT_RUN = 2,
  FAILED_RAN = 3,
  UNKNOWN = 4,
}

struct Header {
  1: string name,
  2: string value,
}

/** First frame of either side. */
struct Hello {
  1: i32 protocol_version,
  2: string host,
  /** Chosen at process start; a replaced process has another one. */
  3: string incarnation,
  4: string failure_domain,
  /** "entry", "agent" or "operator". */
  5: string role,
  6: binary nonce,
  /** Services that the agent stands before; empty for an entry. */
  7: list<string> services,
}

/** Second frame of either side: HMAC-SHA256 over both Hello frames. */
struct Proof {
  1: string key_id,
  2: binary digest,
}

struct LoadReport {
  1: i32 running,
  2: i32 waiting,
  3: i32 capacity,
  /** Age of the target's own report when this frame was written. */
  4: i64 age_ms,
  5: bool leaving,
  6: bool stalled,
}

struct Heartbeat {
  1: i64 sequence,
  2: optional LoadReport load,
  /** Last configuration record that the sender folded; absent before the first. */
  3: optional i64 configuration_offset,
}

struct StartRequest {
  1: i64 attempt,
  2: string request_id,
  3: string service_name,
  4: string account,
  /** 0 is the most urgent. */
  5: i32 priority,
  6: bool idempotent,
  7: optional string idempotency_key,
  8: i64 time_left_ms,
  /** Wall clock of the first issue of the key by its caller, Unix milliseconds. */
  9: optional i64 issued_at_ms,
  /** Version of the configuration that last changed the homes of the service. */
  10: i64 homes_version,
  11: string method,
  12: string path,
  13: list<Header> headers,
  14: binary body,
  15: i64 window_bytes,
}

/** Asks, over a new connection, about an attempt that was in flight. */
struct ResumeRequest {
  1: i64 attempt,
  2: string request_id,
  /** Incarnation of the agent to which StartRequest was written. */
  3: string sent_to_incarnation,
  4: bool head_received,
  5: i64 offset_bytes,
  6: i64 window_bytes,
  7: i64 time_left_ms,
  8: string service_name,
}

struct Acknowledge {
  1: i64 attempt,
  /** All bytes before this offset were handed to the caller's socket. */
  2: i64 received_bytes,
  /** True once ResponseEnd was received. */
  3: bool finished,
}

struct CancelRequest {
  1: i64 attempt,
  2: string request_id,
}

struct ResponseHead {
  1: i64 attempt,
  2: i32 status,
  3: list<Header> headers,
}

struct ResponsePart {
  1: i64 attempt,
  2: i64 offset_bytes,
  3: binary data,
}

struct ResponseEnd {
  1: i64 attempt,
  2: OutcomeCode outcome,
  3: i64 length_bytes,
  /** Short machine-readable word, for example "leaving". */
  4: string reason,
  5: string message,
  6: optional i64 retry_after_ms,
}

/** The agent takes no new work from now on. */
struct Leaving {
  1: i64 time_left_ms,
}

// Published configuration, passed on between processes: docs/design/configuration.md.

/** What a process holds of the configuration stream. */
struct ConfigurationStatus {
  /** Last record that was folded; -1 for none. */
  1: i64 applied_offset,
  /** Digest over all records up to it; differs if the histories do. */
  2: string chain,
  /** Time since the log was last known to hold nothing newer; absent if never. */
  3: optional i64 confirmed_age_ms,
  /** Offset that the newest complete snapshot in the log stands for, if one is known. */
  4: optional i64 snapshot_offset,
  /** Version in force at applied_offset; -1 before the first. */
  5: optional i64 version,
}

struct ConfigurationRecord {
  1: i64 offset,
  2: i64 at_ms,
  3: optional binary body,
  /** In place of the body of a part of a snapshot, which changes nothing: its digest. */
  4: optional string digest,
}

/** Asks for what lies behind the asker's status. */
struct ConfigurationRequest {
  1: ConfigurationStatus status,
}

/** Either records behind the status that was asked about, or a whole snapshot. */
struct ConfigurationUpdate {
  /** Of the answering process. */
  1: ConfigurationStatus status,
  /** The asker's status, as it was asked about. */
  2: ConfigurationStatus base,
  3: list<ConfigurationRecord> records,
  /** Bodies of all parts of a snapshot, if the records are no longer kept. */
  4: list<binary> snapshot,
  /** True if the answerer's history differs from the asker's. */
  5: bool diverged,
}

// Orders of a group's controller to the gates of its ranks: docs/design/map-change.md.

enum OrderKind {
  PROMISE = 1,
  STAGE = 2,
  HOLD = 3,
  SWITCH = 4,
  RELEASE = 5,
}

/** The expert in each slot, rank by rank. */
struct ExpertSlots {
  1: i32 slots_per_rank,
  2: i32 expert_count,
  3: list<i32> experts,
}

struct RankOrder {
  /** Chosen by the controller; the reply carries the same. */
  1: i64 question,
  2: string group,
  3: OrderKind kind,
  4: i64 fencing,
  5: i64 sequence,
  6: optional i64 version,
  7: optional ExpertSlots expert_slots,
}

struct RankReply {
  1: i64 question,
  /** "done", "refused" or "no_answer": the engine gave none, the order may take effect. */
  2: string result,
  /** Highest number that the gate has seen, if it refused. */
  3: optional i64 highest_fencing,
  4: optional i64 highest_sequence,
  5: optional i64 version,
  6: optional i64 staged_version,
  7: optional bool held,
}

/** Asks a rank for the statistics of its last interval. */
struct RankStatisticsRequest {
  1: i64 question,
  2: string group,
}

struct RankStatistics {
  1: i64 question,
  /** Tokens of each expert on this rank; empty if unknown. */
  2: list<i64> expert_tokens,
  /** Mean step time; absent if unknown. */
  3: optional double step_time_ms,
  /** The map in force and its version. */
  4: optional ExpertSlots expert_slots,
  5: optional i64 version,
}

// Questions of operators about expert maps: docs/operators/experts.md.

struct ExpertsQuestion {
  /** Empty for all groups of the agent. */
  1: string group,
}

/** What an agent knows of the group of its rank. */
struct ExpertsStatus {
  /** Empty if the agent has no rank, or none of the group that was asked about. */
  1: string group,
  2: string host,
  /** Whether this host takes itself for the controller; the rest is absent if not. */
  3: bool controls,
  /** Of the newest claim that this host knows, its own or not. */
  4: optional i64 fencing,
  /** The map that the ranks had at the last look, and its version. */
  5: optional i64 version,
  6: optional ExpertSlots expert_slots,
  /** Step-time skew of the last interval. */
  7: optional double skew,
  /** Predicted by the last plan. */
  8: optional double skew_before,
  9: optional double skew_after,
  /** Why the last round changed the map or left it. */
  10: optional string verdict,
  /** Experts to load of a planned change that is not finished. */
  11: optional i64 pending_moves,
  /** Wall clock of the end of the last change, Unix milliseconds. */
  12: optional i64 changed_at_ms,
  /** "changed", "unchanged", "superseded" or "unfinished". */
  13: optional string result,
}

union Frame {
  1: Hello hello,
  2: Proof proof,
  3: Heartbeat heartbeat,
  4: StartRequest start,
  5: ResumeRequest resume,
  6: Acknowledge acknowledge,
  7: CancelRequest cancel,
  8: ResponseHead head,
  9: ResponsePart part,
  10: ResponseEnd end,
  11: Leaving leaving,
  12: ConfigurationRequest configuration_request,
  13: ConfigurationUpdate configuration_update,
  14: RankOrder rank_order,
  15: RankReply rank_reply,
  16: RankStatisticsRequest rank_statistics_request,
  17: RankStatistics rank_statistics,
  18: ExpertsQuestion experts_question,
  19: ExpertsStatus experts_status,
}
