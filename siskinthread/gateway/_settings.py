"""Settings of the gateway."""

from siskinthread.gateway._connection_settings import ConnectionSettings
from siskinthread.load_control import (
    LoadControlSettings,
    ReturnSettings,
    SpeedSettings,
    WaitingSettings,
)
from siskinthread.poison_requests import PoisonSettings
from siskinthread.settings import Item, Section
from siskinthread.sockets import ANSWER_PARTS_LIMIT, ANSWER_SIZE_LIMIT_BYTES
from siskinthread.target_limits import (
    ColdTargetSettings,
    TargetBackoffSettings,
    TargetLimitSettings,
)


class GatewaySettings(Section):
    """Limits and time-outs of an entry that connects to targets directly."""

    connections_limit = Item(
        int,
        default=3000,
        minimum=1,
        description="Maximum number of concurrent caller connections. Three quarters "
        "of the 4,100 file descriptors of the smallest entry hosts; connections to "
        "targets use the rest.",
    )
    status_connections_limit = Item(
        int,
        default=128,
        minimum=1,
        description="Maximum number of concurrent connections to each of the ports for "
        "readiness and for peers.",
    )
    head_size_limit_bytes = Item(
        int,
        default=16_384,
        minimum=256,
        description="Maximum size of a request head until operators publish a limit.",
    )
    body_size_limit_bytes = Item(
        int,
        default=4_194_304,
        minimum=1,
        description="Maximum size of a request body until operators publish a limit.",
    )
    bodies_limit_bytes = Item(
        int,
        default=67_108_864,
        minimum=1,
        description="Memory for the bodies of all requests together. A quarter of the "
        "300 MB of memory of the smallest entry hosts.",
    )
    answers_limit_bytes = Item(
        int,
        default=0,
        minimum=0,
        description="Memory for all answers that are buffered until they are complete; "
        "0 for no limit. Beyond it, answers are streamed to callers unbuffered.",
    )
    slow_readers_limit_bytes = Item(
        int,
        default=0,
        minimum=0,
        description="Memory, including kernel buffers, for all answers that callers "
        "read slowly; 0 for no limit. Beyond it, the connections of the slowest "
        "callers are closed.",
    )
    connections_limit_bytes = Item(
        int,
        default=100_663_296,
        minimum=0,
        description="Memory for the connections of callers, with what they have sent "
        "and what is not used yet; 0 for no limit. Beyond it, connections that wait "
        "for their caller are closed, those without progress for longest first.",
    )
    receive_buffer_bytes = Item(
        int,
        default=16_384,
        minimum=1,
        description="Size of the kernel's receive buffer of a caller's connection.",
    )
    pipelined_limit_bytes = Item(
        int,
        default=16_384,
        minimum=1,
        description="Maximum number of pipelined bytes that are read from a caller "
        "while an earlier request is being served.",
    )
    send_buffer_bytes = Item(
        int,
        default=131_072,
        minimum=1,
        description="Size of the kernel send buffer of a caller's connection.",
    )
    idle_limit_s = Item(
        float,
        default=15.0,
        minimum=0.0,
        description="Idle time-out of a caller's connection until operators publish "
        "one.",
    )
    head_limit_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="Time-out for receiving a request head until operators publish "
        "one.",
    )
    body_limit_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Time-out from the end of a request head to the end of its body. "
        "Above the longest deadline of callers, 8 s.",
    )
    write_progress_limit_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Longest time without the caller reading a byte of its answer. "
        "Callers abandon a stream after 2 s without an event.",
    )
    linger_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Longest wait, after the last answer on a connection, for the "
        "caller to close its side. The latency to callers is below 50 ms.",
    )
    watch_interval_s = Item(
        float,
        default=0.1,
        minimum=0.001,
        description="Interval between checks of the time-outs of caller connections.",
    )
    balancer_notice_s = Item(
        float,
        default=2.3,
        minimum=0.0,
        description="Time from failing readiness until connections are refused. The "
        "load balancer probes once a second and acts on the second failed probe, after "
        "2 s at most. The sum with idle_grace_s must stay below 2.9 s: requests that "
        "arrive later may not end before the process is killed.",
    )
    idle_grace_s = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="Time for which an idle connection stays open during a drain, so "
        "that a request in transit is still answered. The latency to callers is below "
        "50 ms.",
    )
    stop_margin_s = Item(
        float,
        default=0.4,
        minimum=0.0,
        description="Part of the shutdown time that is left unused, so that the last "
        "answers are sent before the process is killed.",
    )
    connect_limit_s = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Connect time-out for targets. The latency between hosts is below "
        "15 ms; a lost SYN is retransmitted only after 1 s. Low, so that a stream "
        "whose first target is unreachable gets its first event from another target "
        "within 0.4 s.",
    )
    silence_limit_s = Item(
        float,
        default=1.2,
        minimum=0.0,
        description="Longest time without a TCP acknowledgement of sent bytes, or of a "
        "keep-alive probe, on a connection to a target. Above one retransmission at "
        "200 ms to 400 ms, below the 2 s after which callers abandon a silent stream.",
    )
    whole_answer_limit_bytes = Item(
        int,
        default=262_144,
        minimum=0,
        description="Largest answer that is buffered until it is complete, so that the "
        "request can be retried on another target if the connection breaks; larger "
        "answers are streamed to the caller.",
    )
    answer_head_limit_bytes = Item(
        int, default=65_536, minimum=256, description="Maximum size of an answer head."
    )
    answer_size_limit_bytes = Item(
        int,
        default=ANSWER_SIZE_LIMIT_BYTES,
        minimum=1,
        description="Maximum size of an answer with its head and framing. A larger one "
        "is broken off: a faulty target may send bytes without end.",
    )
    answer_parts_limit = Item(
        int,
        default=ANSWER_PARTS_LIMIT,
        minimum=1,
        description="Maximum number of parts of an answer, such as chunks or events; "
        "each costs processor time, however small it is.",
    )
    event_limit_bytes = Item(
        int,
        default=262_144,
        minimum=1,
        description="Maximum size of one event of a stream.",
    )
    decline_limit_s = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Longest wait for the rest of an answer that declines a request, "
        "before its connection is closed and another target is tried.",
    )
    idle_connections_limit = Item(
        int,
        default=16,
        minimum=0,
        description="Maximum number of idle connections to one target. Twice the "
        "number of its slots.",
    )
    reuse_limit_s = Item(
        float,
        default=4.0,
        minimum=0.0,
        description="Longest idle time after which a connection to a target is reused, "
        "if the target states no shorter one.",
    )
    connections = Item(
        ConnectionSettings,
        description="Preference for idle connections to targets, and their number.",
    )
    lapse_grace_s = Item(
        float,
        default=2.2,
        minimum=0.0,
        description="Grace period, after an outage of the target list, for target "
        "entries that expire around it. Running targets are listed again within about "
        "2 s.",
    )
    lapse_limit_s = Item(
        float,
        default=2.8,
        minimum=0.0,
        description="Upper limit of this grace period, counted from the start of the "
        "last call that the source did not answer. From 3 s after the beginning of a "
        "network partition, a host behind it must not use targets that have left.",
    )
    lapse_least_s = Item(
        float,
        default=1.6,
        minimum=0.0,
        description="Lower limit of this grace period, however long ago that call "
        "began.",
    )
    evacuation_kept_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="How long a failure domain stays evacuated after the source was "
        "restored to an older state that does not list the evacuation. Operators write "
        "their records again within some seconds.",
    )
    leaving_told_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="How long entries announce a leaving target to their peers. Longer "
        "than a host behind a network partition misses the announcements.",
    )
    leaving_told_limit = Item(
        int,
        default=32,
        minimum=1,
        description="Maximum number of leaving targets in a datagram, the most recent "
        "first; about 1 KB of its 8 KB.",
    )
    reread_spread_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Time over which the hosts of a failure domain spread their full "
        "reads of a source that was restored to an older state, after the first of "
        "them. Half of the time in which 99 hosts read 4 MB each at 800 MB/s, and a "
        "quarter of the 2 s in which a change must be in force.",
    )
    load_report_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="How long a load report of a target is valid. Half of the duration "
        "of a stream.",
    )
    slow_memory_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="How long a statement of a group's controller that targets are "
        "slow is valid. The controller polls the targets twice a second.",
    )
    full_load = Item(
        float,
        default=0.93,
        minimum=0.1,
        description="Requests per slot, over the eligible targets, at which a request "
        "is refused. Closer to 1, all entries see a freed slot at once: with 39 "
        "entries, ten sent a request to it within 0.2 s, and 428 requests were at "
        "targets with 320 slots.",
    )
    fair_load = Item(
        float,
        default=0.75,
        minimum=0.0,
        description="Requests per slot at which requests of surging accounts are "
        "refused. The capacity between this load and full_load serves the other "
        "accounts for the duration of a stream, until slots of the surge are freed.",
    )
    surge_ratio = Item(
        float,
        default=2.0,
        minimum=1.0,
        description="How many times its usual load an account may use while targets "
        "are nearly full, relative to the same ratio of most accounts.",
    )
    surge_margin_count = Item(
        int,
        default=3,
        minimum=0,
        description="Requests that an account may have on top of that ratio; smaller "
        "excesses occur by chance.",
    )
    account_sample_interval_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Interval between samples of the load of accounts.",
    )
    account_sample_weight = Item(
        float,
        default=0.03,
        minimum=0.0,
        description="Minimum weight of a sample in the exponentially weighted mean of "
        "an account's load. Its half-life is 23 s, so that a surge of some seconds "
        "does not become the usual load.",
    )
    account_least_samples = Item(
        int,
        default=4,
        minimum=1,
        description="Number of samples from which the usual load of an account is "
        "known.",
    )
    forgotten_account_mean = Item(
        float,
        default=0.01,
        minimum=0.0,
        description="Usual number of requests below which an account is forgotten.",
    )
    away_load = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="Load by which the entry's own failure domain must exceed the "
        "others for a request to be sent to another one, as a fraction of the slots. "
        "Applies where only entries of the same failure domain report their requests "
        "promptly. One slot of five.",
    )
    retry_after_s = Item(
        float,
        default=1.8,
        minimum=0.0,
        description="Mean time after which a refused caller should retry; close to the "
        "duration of a stream.",
    )
    retry_window_s = Item(
        float,
        default=10.0,
        minimum=0.1,
        description="Window of the retry budget, unless the host settings state "
        "another one.",
    )
    retry_share = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="Retries per request in the window that all entries together may "
        "make, unless the host settings state another ratio.",
    )
    retry_floor_count = Item(
        int,
        default=88,
        minimum=0,
        description="Retries in the window that all entries together may make on top "
        "of the ratio, unless the host settings state another number. The value of the "
        "smallest fleet.",
    )
    retry_margin = Item(
        float,
        default=0.75,
        minimum=0.0,
        description="Fraction of the retry budget that is used. The rest covers "
        "entries that were unknown to the others when they divided the budget.",
    )
    end_check_limit_s = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Time-out of the check whether a target that broke off an exchange "
        "still listens. The latency between hosts is below 15 ms, and a host whose "
        "process has ended refuses connections at once.",
    )
    end_settle_s = Item(
        float,
        default=0.02,
        minimum=0.0,
        description="How long a connection of this check must stay open for the target "
        "to count as running. An exiting process resets it when its listener is "
        "closed, which may happen after its connections are closed.",
    )
    ejection_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="How long a target is ejected after its first consecutive failure; "
        "doubled by each further one.",
    )
    ejection_limit_s = Item(
        float,
        default=4.0,
        minimum=0.0,
        description="Longest ejection of a failing target; the length of the common "
        "short outages.",
    )
    avoided_s = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="How long a target that has declined a request gets requests only "
        "if no other target can serve them; doubled by each further decline.",
    )
    avoided_limit_s = Item(
        float,
        default=1.6,
        minimum=0.0,
        description="Upper limit of the time for which a declining target is avoided.",
    )
    avoided_memory_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time after which earlier declines no longer prolong the time for "
        "which a target is avoided.",
    )
    reachability_count = Item(
        int,
        default=3,
        minimum=2,
        description="Number of targets of a failure domain with consecutive connect "
        "failures, without an answer of any target there, at which the circuit breaker "
        "of the failure domain opens. Single targets that are gone are ejected "
        "individually.",
    )
    reachability_window_s = Item(
        float,
        default=2.0,
        minimum=0.1,
        description="Window within which these failures must occur.",
    )
    reachability_check_s = Item(
        float,
        default=0.5,
        minimum=0.05,
        description="Interval between checks of an unreachable failure domain. Refused "
        "callers wait longer before they retry.",
    )
    stall_limit_s = Item(
        float,
        default=0.5,
        minimum=0.05,
        description="Time without an event on any stream of a group after which the "
        "group counts as stalled. Passes take 0.05 s to 0.13 s, and 0.27 s with a rank "
        "that runs at half speed.",
    )
    stall_memory_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="How long a group counts as stalled after its last silent stream "
        "has ended. Then a request tests the group; its caller abandons a silent "
        "stream after 2 s.",
    )
    group_ejection_s = Item(
        float,
        default=0.8,
        minimum=0.0,
        description="How long a group is ejected after the last evidence that it is "
        "broken, if there are no reports of its ranks; then one request tests it. "
        "Groups re-form within 0.6 s.",
    )
    outage_reported_s = Item(
        float,
        default=0.8,
        minimum=0.05,
        description="How long a rank's report that its group is broken is valid; no "
        "request tests the group meanwhile. Four report intervals.",
    )
    outage_test_limit_s = Item(
        float,
        default=2.0,
        minimum=0.05,
        description="How long a request that tests a broken group prevents another "
        "test. Callers abandon a stream that is silent for 2 s.",
    )
    outage_lead_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Failures of ranks up to this time before their group is known to "
        "be broken are attributed to the same cause. Ranks stall for 1.5 s before they "
        "decline.",
    )
    outage_told_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="How long the observed state of a group is sent to peers; three "
        "regular datagrams to other failure domains.",
    )
    outage_forgotten_s = Item(
        float,
        default=60.0,
        minimum=1.0,
        description="Time without any evidence of a broken group after which it is "
        "forgotten; its ranks have been replaced by those of another group.",
    )
    controllers_per_domain = Item(
        int,
        default=3,
        minimum=1,
        description="Number of entries of each failure domain among which the control "
        "of groups is divided. With three, two may fail before other entries take "
        "over.",
    )
    return_limit_share = Item(
        float,
        default=0.31,
        minimum=0.0,
        description="Fraction of a refused request's remaining time within which its "
        "caller is asked to retry, and after which if every target of the service "
        "fails. Callers wait for at most a third; the answer takes some milliseconds "
        "to reach them.",
    )
    source_retry_s = Item(
        float,
        default=0.5,
        minimum=0.01,
        description="Wait after a failed read of the configuration or of the target "
        "list. In an outage twelve entries then make 48 calls per second, an eighth of "
        "the 400 that are allowed.",
    )
    source_retry_limit_s = Item(
        float,
        default=2.0,
        minimum=0.01,
        description="Longest back-off after consecutive failed reads, for hosts that "
        "are not the first of their failure domain. Target entries that expire in an "
        "outage are listed again within 2 s of its end.",
    )
    table_pause_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Interval between reads of the configuration while it changes. A "
        "series of 25 changes in 2 s then takes 5 reads instead of 25, and each change "
        "is in force within 0.6 s; 2 s are allowed.",
    )
    snapshot_interval_s = Item(
        float,
        default=0.4,
        minimum=0.01,
        description="Interval between checks whether peers have newer data than this "
        "entry. Changes must be in force within 2 s.",
    )
    table_wait_s = Item(
        float,
        default=24.0,
        minimum=0.0,
        description="Long-poll time-out of a read of the configuration. Each read is a "
        "billed call; the loss of such a read is noticed after `table_age_limit_s`.",
    )
    table_check_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Interval at which the first reader of all failure domains checks "
        "whether the source has a newer configuration than its waiting read returned.",
    )
    table_age_limit_s = Item(
        float,
        default=1.5,
        minimum=0.01,
        description="Age of a host's configuration, as confirmed by an own read or by "
        "a peer, at which the host asks the source. Changes must be in force within "
        "2 s.",
    )
    table_fresh_s = Item(
        float,
        default=1.5,
        minimum=0.0,
        description="Additional time, beyond `table_age_limit_s`, after which this "
        "entry considers its configuration stale.",
    )
    table_readers_per_domain = Item(
        int,
        default=2,
        minimum=0,
        description="Number of hosts of each failure domain that read the "
        "configuration on behalf of the others; with 0 each host reads for itself. "
        "With two, no update is delayed by a reader that is stopped, killed or "
        "partitioned.",
    )
    table_word_s = Item(
        float,
        default=0.7,
        minimum=0.01,
        description="Lease that a message of a configuration reader grants. A host "
        "that receives none for longer reads for itself; evacuations must be in force "
        "within 1 s, and a read takes less than 0.1 s.",
    )
    table_take_spread_s = Item(
        float,
        default=0.03,
        minimum=0.0,
        description="Time over which the hosts of a failure domain spread their "
        "requests to readers for a new configuration; by then more than one reader has "
        "announced it.",
    )
    table_take_pause_s = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="Interval between fetches of the configuration from a reader. "
        "After the reader's own `table_pause_s`, a change is in force within 0.9 s.",
    )
    told_targets_limit = Item(
        int,
        default=500,
        minimum=0,
        description="Largest number of targets at which a changed list is fetched "
        "completely from a reader. With more, each host reads the changes from the "
        "source: encoding 3,000 entries costs a reader 8 ms and 85 kB per requesting "
        "host.",
    )
    hand_out_bytes_s = Item(
        int,
        default=400_000,
        minimum=0,
        description="Rate at which a reader serves the configuration, and likewise the "
        "target list, to other hosts; hosts beyond the limit read for themselves. A "
        "quarter of the slowest link of entry hosts, 14 Mbit/s; a configuration of 840 "
        "routes takes 32 KB.",
    )
    target_interval_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Interval between reads of the target list by the reader of a "
        "failure domain. A leaving target may get requests for 2 s more, so one read "
        "may be lost, or be slow for 1 s.",
    )
    shares_target_reads = Item(
        bool,
        default=True,
        description="Whether the readers of all failure domains share one read of the "
        "target list and serve it to other hosts; otherwise each reader reads every "
        "`target_interval_s`, and each host reads changes from the source.",
    )
    target_age_limit_s = Item(
        float,
        default=1.2,
        minimum=0.01,
        description="Age of a host's target list, as read by itself or confirmed by a "
        "peer, at which the host reads the list. A read that takes 0.8 s still ends "
        "within the 2 s for which a leaving target may get requests.",
    )
    upkeep_interval_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Interval between checks of idle connections.",
    )
    load_control = Item(
        LoadControlSettings,
        description="Load shedding as targets fill up.",
    )
    speeds = Item(
        SpeedSettings,
        description="Placement of requests by the observed speed of targets.",
    )
    limits = Item(
        TargetLimitSettings,
        description="Request rate limits that overloaded targets state, and their "
        "division among entries.",
    )
    backoff = Item(
        TargetBackoffSettings,
        description="Return to targets that have asked this entry to back off.",
    )
    cold = Item(
        ColdTargetSettings,
        description="Request limits of targets that are cold after a start.",
    )
    poison = Item(
        PoisonSettings,
        description="Requests that crash targets, and their limits.",
    )
    waiting = Item(
        WaitingSettings,
        description="Queueing of requests at this host while no target is usable.",
    )
    returns = Item(
        ReturnSettings,
        description="Retry times of refused callers, and the capacity reserved for "
        "them.",
    )
