"""Settings of the target behind an agent."""

from siskinthread.settings import Address, Choice, Item, Section


class TargetSettings(Section):
    """The target on the agent's host."""

    kind = Item(
        Choice("engine", "plain"),
        description="`engine` for a model engine, `plain` for a plain service.",
    )
    address = Item(Address, description="Where the target listens for HTTP.")
    connect_wait_s = Item(
        float, default=1.0, minimum=0.01, description="Longest wait for a connection."
    )
    silence_limit_s = Item(
        float,
        default=10.0,
        minimum=0.05,
        description="Longest wait for the next byte of a response.  An engine is then "
        "asked over a new connection; a plain service's outcome is unknown.",
    )
    resume_limit = Item(
        int,
        default=3,
        minimum=0,
        description="Times in a row that an engine is asked again for a response that "
        "makes no progress.",
    )
    resume_wait_s = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Pause before an engine is asked again.",
    )
    control_wait_s = Item(
        float,
        default=1.0,
        minimum=0.05,
        description="Longest wait for the answer to a load report or cancellation.",
    )
    idle_connections_limit = Item(
        int, default=64, minimum=0, description="Idle connections that are kept open."
    )
    idle_reuse_limit_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Age up to which an idle connection is used for a non-idempotent "
        "request; keep it under the target's own keep-alive limit.",
    )
    idle_limit_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Age up to which an idle connection is used at all.",
    )
    response_head_limit_bytes = Item(
        int, default=64 * 1024, minimum=1024, description="Longest head of a response."
    )
