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
        description="Requests of priority 0 that run beyond `running_limit`, so that "
        "an alert never waits for a draft to end.",
    )
    waiting_limit = Item(
        int,
        default=256,
        minimum=0,
        description="Requests that wait for their turn; beyond it the least urgent is "
        "refused.",
    )
    overload_retry_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="`Retry-After` of a refusal for overload.",
    )
    stream_buffer_limit_bytes = Item(
        int,
        default=128 * 1024,
        minimum=1024,
        description="Bytes of one response that are held for its reader; beyond it the "
        "agent stops reading from the target.",
    )
    part_limit_bytes = Item(
        int, default=32 * 1024, minimum=256, description="Longest part in one frame."
    )
    write_limit_bytes = Item(
        int,
        default=256 * 1024,
        minimum=1024,
        description="Bytes of frames that are gathered for one write to a link.",
    )
    coalesce_wait_s = Item(
        float,
        default=0.01,
        minimum=0.0,
        description="Longest time for which response parts are gathered before a "
        "write; the first and the last of a response are written at once.",
    )
    keyed_answer_limit_bytes = Item(
        int,
        default=256 * 1024,
        minimum=1024,
        description="Longest answer that is kept whole for retries with its "
        "idempotency key; room for this much is set aside while one runs.",
    )
    keyed_memory_limit_bytes = Item(
        int,
        default=48 * 1024 * 1024,
        minimum=1024,
        description="Memory for the records and answers of idempotency keys; when it "
        "is full, requests with a new key are refused.",
    )
    refusals_limit = Item(
        int,
        default=20_000,
        minimum=1,
        description="Refused attempts that are remembered; when it is full, the agent "
        "answers `unknown` instead of `never received`.",
    )
    orphan_limit_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Time without any connection asking for it after which a request "
        "without an idempotency key is cancelled.",
    )
    forget_grace_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Time past its deadline for which an attempt is remembered; keep "
        "it well over the silence limit of links.",
    )
    finished_grace_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time for which a request is remembered once its end arrived.",
    )
    late_start_limit_s = Item(
        float,
        default=3.5,
        minimum=0.0,
        description="Time for which another entry's attempts are refused after a key "
        "was refused as not run; keep it over the silence limit of links.",
    )
    clock_error_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Greatest difference between the wall clocks of two of the "
        "system's hosts, and how far the stated issue of a key may lie ahead.",
    )
    refuse_unconfirmed_keys = Item(
        bool,
        default=False,
        description="Whether new keys are refused while the log can't be read for "
        "longer than changed homes take to settle.  It closes the one way in which a "
        "key can have two homes, at the cost of every keyed request in a long outage "
        "of the log.",
    )
    leaving_notice_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Shortest time between the notice that this agent leaves and its "
        "end, within which requests that crossed with the notice are refused.",
    )
    housekeeping_interval_s = Item(
        float,
        default=0.2,
        minimum=0.005,
        description="Time between looks at deadlines.",
    )
    load_interval_s = Item(
        float,
        default=0.5,
        minimum=0.01,
        description="Time between readings of the target's load.",
    )
    stall_limit_s = Item(
        float,
        default=5.0,
        minimum=0.05,
        description="Time without a byte from the target, while requests run, after "
        "which it is reported as stalled.",
    )
