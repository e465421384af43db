"""Settings of the membership view."""

from siskinthread.settings import Item, Section


class MembershipSettings(Section):
    """How far the host list is believed."""

    shrink_limit_fraction = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Share of the hosts that may vanish from the host list within "
        "`shrink_window_s` before the list is held implausible; one host always may.",
    )
    shrink_window_s = Item(
        float,
        default=60.0,
        minimum=1.0,
        description="Time over which vanished hosts are added up.",
    )
    shrunken_hold_s = Item(
        float,
        default=120.0,
        minimum=1.0,
        description="Shortest time for which a host without a live link is kept after "
        "an implausible list dropped it.",
    )
    removal_grace_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Time for which a host that a plausible list dropped is kept, "
        "without new work, while its link is alive.",
    )
    entry_memory_s = Item(
        float,
        default=600.0,
        minimum=1.0,
        description="Time for which an entry host that vanished still counts in the "
        "division of the accounts' limits.",
    )
