"""Settings of the HTTP front end for callers."""

from siskinthread.settings import Item, Section


class CallerSettings(Section):
    """Limits of the HTTP server for callers."""

    connections_limit = Item(
        int,
        default=4096,
        minimum=1,
        description="Maximum number of concurrent connections; requests on further "
        "connections are refused, not run.",
    )
    head_size_limit_bytes = Item(
        int,
        default=32_768,
        minimum=256,
        description="Maximum size of a request's head.",
    )
    body_size_limit_bytes = Item(
        int,
        default=2_097_152,
        minimum=1,
        description="Maximum size of a request's body.",
    )
    bodies_limit_bytes = Item(
        int,
        default=33_554_432,
        minimum=1,
        description="Memory for the bodies of all requests together; a request that "
        "would exceed it is refused, not run.",
    )
    connections_limit_bytes = Item(
        int,
        default=50_331_648,
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
        description="Maximum number of bytes read from a connection ahead of the "
        "request that is being served.",
    )
    send_buffer_bytes = Item(
        int,
        default=131_072,
        minimum=1,
        description="Size of the kernel's send buffer of a connection.",
    )
    whole_answer_limit_bytes = Item(
        int,
        default=262_144,
        minimum=0,
        description="Maximum size of an answer that is buffered, so that its head can "
        "state the outcome; larger answers are streamed.",
    )
    idle_limit_s = Item(
        float,
        default=75.0,
        minimum=0.0,
        description="Maximum time to wait for the first byte of the next request.",
    )
    head_limit_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Maximum time from the first byte of a head to its end.",
    )
    body_limit_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Maximum time from the end of a head to the end of the body.",
    )
    write_progress_limit_s = Item(
        float,
        default=20.0,
        minimum=0.0,
        description="Maximum time in which the caller reads no byte of its answer.",
    )
    linger_limit_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Maximum time to wait, after the last response of a connection, "
        "for the caller to close its side.",
    )
    watch_interval_s = Item(
        float,
        default=0.25,
        minimum=0.001,
        description="Interval between checks of the limits above.",
    )
    default_timeout_s = Item(
        float,
        default=120.0,
        minimum=0.001,
        description="Timeout of a request whose caller states none.",
    )
    timeout_limit_s = Item(
        float,
        default=3600.0,
        minimum=0.001,
        description="Maximum timeout of a request; longer ones are reduced to it.",
    )
    clock_error_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Maximum difference between the wall clocks of two hosts; must be "
        "the same value as for the agents.",
    )
    idempotency_key_limit_chars = Item(
        int, default=128, minimum=1, description="Maximum length of an idempotency key."
    )
    default_token_estimate = Item(
        int,
        default=256,
        minimum=1,
        description="Estimated tokens of an answer if the request has no max_tokens.",
    )
    prefix_head_bytes = Item(
        int,
        default=2048,
        minimum=1,
        description="Number of bytes at the start of the messages that identify a "
        "prompt's prefix.",
    )
    balancer_notice_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time during a drain between the failing of readiness and the "
        "closing of connections, in which the platform's balancer notices it.",
    )
    idle_grace_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Time that an idle connection stays open during a drain, so that a "
        "request already in transit is still answered.",
    )
