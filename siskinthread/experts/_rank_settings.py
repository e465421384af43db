"""Settings of the rank on a target host."""

from siskinthread.settings import Address, Item, Section


class RankSettings(Section):
    """Settings of the rank of a model group that runs on this host."""

    group = Item(str, default="", description="Model group; empty for no rank.")
    address = Item(
        Address, default=None, description="Address at which the engine takes orders."
    )
    checks_fencing = Item(
        bool,
        default=False,
        description="Whether the engine refuses orders with an outdated fencing "
        "number.",
    )
    order_limit_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time after which an unanswered order can no longer take effect at "
        "an engine that does not check fencing numbers.",
    )
    answer_wait_s = Item(
        float,
        default=2.0,
        minimum=0.01,
        description="Longest wait for an answer of the engine.",
    )
    hold_limit_s = Item(
        float,
        default=2.0,
        minimum=0.01,
        description="Longest hold of a rank that has not switched its map.",
    )
    lapse_interval_s = Item(
        float,
        default=0.2,
        minimum=0.01,
        description="Interval of checks for a hold that has passed its limit.",
    )
    plan_interval_s = Item(
        float,
        default=60.0,
        minimum=0.05,
        description="Interval of plans of the group's controller.",
    )
    order_wait_s = Item(
        float,
        default=4.0,
        minimum=0.01,
        description="Longest wait of the controller for a rank's reply.",
    )
