"""Settings of persistent connections to targets."""

from siskinthread.settings import Item, Section


class ConnectionSettings(Section):
    """Preference for idle connections, and limits of the pool of idle connections."""

    is_preferred = Item(
        bool,
        default=True,
        description="Whether a request that may reuse a connection prefers, among "
        "ranks of groups with indistinguishable loads, a rank to which there is an "
        "idle connection.",
    )
    busier_limit_count = Item(
        int,
        default=2,
        minimum=0,
        description="How many more requests than the least loaded rank of its group a "
        "rank may have to be preferred for its connection; it always has a free slot. "
        "The ranks of a group run in lock-step. With 37 hosts, 2 gives 0.10 new "
        "connections per request, 1 gives 0.17 and 3 gives 0.09.",
    )
    idle_total_limit = Item(
        int,
        default=128,
        minimum=0,
        description="Maximum number of idle connections to all targets together; "
        "beyond it the one that has been idle longest is closed. An eighth of the "
        "1,535 file descriptors of the smallest entry hosts, most of which are used "
        "by callers.",
    )
    stated_reuse_limit_s = Item(
        float,
        default=15.0,
        minimum=0.0,
        description="Longest idle time after which a connection is reused to a target "
        "that states its keep-alive time-out; at most half of that time-out. "
        "`reuse_limit_s` of the gateway applies to targets that state none.",
    )
    unacknowledged_limit_s = Item(
        float,
        default=0.4,
        minimum=0.05,
        description="Longest time without a TCP acknowledgement of a request's bytes "
        "on a reused connection. Lost bytes are retransmitted after about 0.2 s, so "
        "that a single loss does not end the connection.",
    )
