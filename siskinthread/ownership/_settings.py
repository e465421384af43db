"""Settings of the ownership of model groups."""

from siskinthread.settings import Item, Section


class OwnershipSettings(Section):
    """When a group is claimed and how often the claims are read."""

    claim_step_s = Item(
        float,
        default=2.0,
        minimum=0.001,
        description="Time by which each further candidate of a group waits longer "
        "before it claims; longer than an append and its reading take.",
    )
    silence_limit_s = Item(
        float,
        default=6.0,
        minimum=0.01,
        description="Time without a heartbeat of the owner after which it is "
        "suspected.",
    )
    owner_read_interval_s = Item(
        float,
        default=5.0,
        minimum=0.001,
        description="Longest time between reads of the claims by an owner.",
    )
    read_interval_s = Item(
        float,
        default=60.0,
        minimum=0.001,
        description="The same of a process that owns no group and suspects no owner.",
    )
    reset_wait_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Time over which processes spread the record that gives up claims "
        "which expired unread.",
    )
