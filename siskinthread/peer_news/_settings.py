"""Settings of the gossip between entry hosts."""

from siskinthread.settings import Item, Section


class PeerGossipSettings(Section):
    """How often messages are sent, and how long their contents count."""

    interval_s = Item(
        float,
        default=0.1,
        minimum=0.01,
        description="Time between two messages of a process whose loads change, with "
        "up to `peers_at_full_rate` peers. With more, hosts of its failure domain are "
        "sent messages at this rate, or less often in proportion to their number, and "
        "the others are sent sums. A quarter of this is a tenth of the shortest "
        "response-time objective.",
    )
    peers_at_full_rate = Item(
        int,
        default=8,
        minimum=1,
        description="Peers up to which messages are sent at the full rate. Eight "
        "entries send 0.2 MB a second in all.",
    )
    quiet_interval_s = Item(
        float,
        default=1.0,
        minimum=0.05,
        description="Time between two messages of a process whose loads don't change, "
        "and between two messages to peers of other failure domains where there are "
        "many peers.",
    )
    reading_interval_s = Item(
        float,
        default=0.25,
        minimum=0.01,
        description="Longest time between two messages of a host that reads the "
        "configuration for its failure domain, to the hosts there. A third of "
        "`table_word_s`, the time for which its reading counts.",
    )
    far_interval_s = Item(
        float,
        default=8.0,
        minimum=0.1,
        description="Time between two messages to hosts of other failure domains that "
        "receive sums of this one, where there are many hosts. Less than half of the "
        "silence after which a host is forgotten.",
    )
    fresh_limit_s = Item(
        float,
        default=1.5,
        minimum=0.05,
        description="How long the loads in a peer's message count.",
    )
    domain_memory_s = Item(
        float,
        default=3.5,
        minimum=0.05,
        description="Silence after which no host of a failure domain is assumed to be "
        "reachable. Three sums of a domain, a second apart, may be lost; groups with "
        "ranks in a domain that is cut off stop in any case.",
    )
    pass_fresh_s = Item(
        float,
        default=0.5,
        minimum=0.05,
        description="How long the pass time in a peer's message counts. About three "
        "times the interval between two messages of a near peer, 0.1 s to 0.25 s.",
    )
    forget_after_s = Item(
        float,
        default=20.0,
        minimum=0.1,
        description="Silence after which a peer is forgotten and not sent messages any "
        "more; longer than the longest usual cut of a failure domain.",
    )
    fleet_settle_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="Time from the start after which a host has heard from all others. "
        "Each sends its complete state once a second, and names some other hosts.",
    )
    roster_wait_s = Item(
        float,
        default=60.0,
        minimum=0.0,
        description="Time from the start after which a host counts as known to all "
        "although it has not heard from each host that its peers know of: the others "
        "are gone. Three times the silence after which a host is forgotten.",
    )
    peers_told_count = Item(
        int,
        default=8,
        minimum=1,
        description="Other hosts that each datagram names, so that its size does not "
        "grow with their number. With 8 of 300 named, ten a second, all are known "
        "within seconds.",
    )
    size_limit_bytes = Item(
        int,
        default=8192,
        minimum=512,
        description="Largest datagram that is sent or accepted; loopback and the "
        "hosts' links carry it in fragments.",
    )
