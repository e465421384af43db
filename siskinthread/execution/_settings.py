"""Settings of the execution of requests at an agent."""

from siskinthread.settings import Item, Section


class ExecutionSettings(Section):
    """Execution of requests at an agent."""

    running_limit = Item(
        int,
        default=256,
        minimum=1,
        description="Requests that run at the target at once.",
    )
    urgent_running_limit = Item(
        int,
        default=16,
        minimum=0,
        description="Requests of priority 0 that may run beyond `running_limit`, so "
        "that urgent requests don't wait for less urgent requests to end.",
    )
    waiting_limit = Item(
        int,
        default=256,
        minimum=0,
        description="Requests that are queued until they may run; beyond it the least "
        "urgent request is refused.",
    )
    overload_retry_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="`Retry-After` of requests that are refused because of overload.",
    )
    stream_buffer_limit_bytes = Item(
        int,
        default=128 * 1024,
        minimum=1024,
        description="Bytes of one response that are buffered for its readers; beyond "
        "it the agent stops reading from the target.",
    )
    part_limit_bytes = Item(
        int,
        default=32 * 1024,
        minimum=256,
        description="Maximum size of a response part in one frame.",
    )
    write_limit_bytes = Item(
        int,
        default=256 * 1024,
        minimum=1024,
        description="Bytes of frames that are collected for one write to a link.",
    )
    coalesce_wait_s = Item(
        float,
        default=0.01,
        minimum=0.0,
        description="Maximum time for which response parts are collected before a "
        "write; the first part and the end of a response are written at once.",
    )
    keyed_answer_limit_bytes = Item(
        int,
        default=256 * 1024,
        minimum=1024,
        description="Maximum size of an answer that is kept for retries with its "
        "idempotency key; this much memory is reserved while the request runs.",
    )
    keyed_memory_limit_bytes = Item(
        int,
        default=48 * 1024 * 1024,
        minimum=1024,
        description="Memory for the records and answers of idempotency keys; when it "
        "is full, requests with new keys are refused.",
    )
    refusals_limit = Item(
        int,
        default=20_000,
        minimum=1,
        description="Refused attempts of which a record is kept; beyond it the agent "
        "answers `unknown` instead of `never received`.",
    )
    orphan_limit_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Time after the loss of its connection after which a request "
        "without an idempotency key is cancelled unless it has been resumed.",
    )
    forget_grace_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Time past its deadline for which the record of an attempt is "
        "kept; must be well above the silence limit of links.",
    )
    finished_grace_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time for which the record of a request is kept after its end has "
        "been acknowledged.",
    )
    late_start_limit_s = Item(
        float,
        default=3.5,
        minimum=0.0,
        description="Time for which attempts of other entries are refused after a key "
        "was refused as not run; must be above the silence limit of links.",
    )
    clock_error_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Maximum difference between the wall clocks of any two hosts of "
        "the system; also how far in the future the time of issue of a key may lie.",
    )
    refuse_unconfirmed_keys = Item(
        bool,
        default=False,
        description="Whether new keys are refused once the log has been unreadable for "
        "longer than the settling time of changed homes.  This prevents the only case "
        "in which a key can have two homes, but in a long outage of the log every "
        "keyed request is refused.",
    )
    leaving_notice_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Minimum time between the notice that this agent leaves and its "
        "exit; requests that were sent before the notice arrived are refused in it.",
    )
    housekeeping_interval_s = Item(
        float,
        default=0.2,
        minimum=0.005,
        description="Interval between checks of deadlines.",
    )
    load_interval_s = Item(
        float,
        default=0.5,
        minimum=0.01,
        description="Interval at which the target's load is polled.",
    )
    stall_limit_s = Item(
        float,
        default=5.0,
        minimum=0.05,
        description="Time without a byte from the target, while requests run, after "
        "which the target is reported as stalled.",
    )
