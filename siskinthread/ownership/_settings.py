"""Settings of the ownership of model groups."""

from siskinthread.settings import Item, Section


class OwnershipSettings(Section):
    """Delays of claims and intervals of reads of the ownership stream."""

    claim_step_s = Item(
        float,
        default=2.0,
        minimum=0.001,
        description="Additional delay of each further candidate of a group before it "
        "claims; must exceed the time for an append and the read that follows.",
    )
    silence_limit_s = Item(
        float,
        default=6.0,
        minimum=0.01,
        description="Time without a heartbeat after which an owner is suspected.",
    )
    owner_read_interval_s = Item(
        float,
        default=5.0,
        minimum=0.001,
        description="Longest interval between reads of the claims by a process that "
        "owns a group.",
    )
    read_interval_s = Item(
        float,
        default=60.0,
        minimum=0.001,
        description="Longest interval between reads of the claims by a process that "
        "owns no group and suspects no owner.",
    )
    reset_wait_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Longest random delay before a process appends the reset that is "
        "needed after claims expired unread.",
    )
