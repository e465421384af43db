"""Settings of the membership view."""

from siskinthread.settings import Item, Section


class MembershipSettings(Section):
    """Limits on removals of hosts that the host list no longer contains."""

    shrink_limit_fraction = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Fraction of the hosts that may vanish from the host list within "
        "`shrink_window_s`; a list that lacks more is implausible. A single host may "
        "always vanish.",
    )
    shrink_window_s = Item(
        float,
        default=60.0,
        minimum=1.0,
        description="Time window over which vanished hosts are counted.",
    )
    shrunken_hold_s = Item(
        float,
        default=120.0,
        minimum=1.0,
        description="Time for which a host that is missing from an implausible list is "
        "kept at least; beyond it, only hosts with a live link are kept.",
    )
    removal_grace_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Longest time for which a host that is missing from a plausible "
        "list is kept, without new work, while its link is alive.",
    )
    entry_memory_s = Item(
        float,
        default=600.0,
        minimum=1.0,
        description="Time for which a vanished entry host still counts when the limits "
        "of accounts are divided among the entry hosts.",
    )
