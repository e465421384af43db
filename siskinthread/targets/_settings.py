"""Settings of the target behind an agent."""

from siskinthread.settings import Address, Choice, Item, Section
from siskinthread.sockets import ANSWER_PARTS_LIMIT, ANSWER_SIZE_LIMIT_BYTES


class TargetSettings(Section):
    """The target on the agent's host."""

    kind = Item(
        Choice("engine", "plain"),
        description="`engine` for a model engine, `plain` for a plain service.",
    )
    address = Item(Address, description="Address at which the target serves HTTP.")
    connect_wait_s = Item(
        float, default=1.0, minimum=0.01, description="Longest wait for a connection."
    )
    silence_limit_s = Item(
        float,
        default=10.0,
        minimum=0.05,
        description="Longest wait for the next byte of a response.  An engine is then "
        "queried over a new connection; a plain service's outcome is unknown.",
    )
    resume_limit = Item(
        int,
        default=3,
        minimum=0,
        description="Consecutive queries of an engine for the rest of a response "
        "without any progress after which the response is given up.",
    )
    resume_wait_s = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Pause before an engine is queried again.",
    )
    control_wait_s = Item(
        float,
        default=1.0,
        minimum=0.05,
        description="Longest wait for the answer to a load report or cancellation.",
    )
    idle_connections_limit = Item(
        int, default=64, minimum=0, description="Maximum number of idle connections."
    )
    idle_reuse_limit_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Age up to which an idle connection is used for a non-idempotent "
        "request; should be less than the target's own keep-alive limit.",
    )
    idle_limit_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Age up to which an idle connection is used for any request.",
    )
    response_head_limit_bytes = Item(
        int, default=64 * 1024, minimum=1024, description="Longest head of a response."
    )
    response_size_limit_bytes = Item(
        int,
        default=ANSWER_SIZE_LIMIT_BYTES,
        minimum=1024,
        description="Longest response with its head and framing; a longer one is "
        "broken off.",
    )
    response_parts_limit = Item(
        int,
        default=ANSWER_PARTS_LIMIT,
        minimum=1,
        description="Maximum number of parts of a response, such as chunks or events.",
    )
