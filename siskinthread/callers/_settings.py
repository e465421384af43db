"""Settings of the callers' side."""

from siskinthread.settings import Item, Section


class CallerSettings(Section):
    """Limits of the HTTP server towards callers."""

    connections_limit = Item(
        int,
        default=4096,
        minimum=1,
        description="Connections served at once; those beyond it are refused, not run.",
    )
    head_size_limit_bytes = Item(
        int, default=32_768, minimum=256, description="Largest head of a request."
    )
    body_size_limit_bytes = Item(
        int, default=2_097_152, minimum=1, description="Largest body of a request."
    )
    bodies_limit_bytes = Item(
        int,
        default=33_554_432,
        minimum=1,
        description="Memory for the bodies of all requests together; a request beyond "
        "it is refused, not run.",
    )
    pipelined_limit_bytes = Item(
        int,
        default=65_536,
        minimum=1,
        description="Bytes taken from a caller ahead of the request that is served.",
    )
    send_buffer_bytes = Item(
        int,
        default=131_072,
        minimum=1,
        description="Kernel's send buffer of a connection.",
    )
    whole_answer_limit_bytes = Item(
        int,
        default=262_144,
        minimum=0,
        description="Largest answer that is buffered so that its head tells the "
        "outcome; a larger one is streamed.",
    )
    idle_limit_s = Item(
        float,
        default=75.0,
        minimum=0.0,
        description="Longest wait for the first byte of the next request.",
    )
    head_limit_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Longest time from the first byte of a head to its end.",
    )
    body_limit_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Longest time from the end of a head to the end of the body.",
    )
    write_progress_limit_s = Item(
        float,
        default=20.0,
        minimum=0.0,
        description="Longest time without the caller taking a byte of its answer.",
    )
    linger_limit_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Longest wait, after the last answer of a connection, for the "
        "caller to close its side.",
    )
    watch_interval_s = Item(
        float,
        default=0.25,
        minimum=0.001,
        description="Time between two checks of the limits above.",
    )
    default_timeout_s = Item(
        float,
        default=120.0,
        minimum=0.001,
        description="Time that a request may take if its caller states none.",
    )
    timeout_limit_s = Item(
        float,
        default=3600.0,
        minimum=0.001,
        description="Longest time that a caller may ask for; more is cut to it.",
    )
    clock_error_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Largest difference between the wall clocks of two hosts; the "
        "same as the agents'.",
    )
    idempotency_key_limit_chars = Item(
        int, default=128, minimum=1, description="Longest idempotency key."
    )
    default_token_estimate = Item(
        int,
        default=256,
        minimum=1,
        description="Tokens of an answer whose request states no max_tokens.",
    )
    prefix_head_bytes = Item(
        int,
        default=2048,
        minimum=1,
        description="Bytes of the messages that identify a prompt's prefix.",
    )
    balancer_notice_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time from failing readiness until connections are closed, for "
        "the platform's balancer to notice.",
    )
    idle_grace_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Time that an idle connection is kept during a drain, so that a "
        "request just under way is still answered.",
    )
