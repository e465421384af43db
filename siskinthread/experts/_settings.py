"""Settings of the planner of expert maps."""

from siskinthread.settings import Item, Section


class PlannerSettings(Section):
    """When and how far an expert map is changed."""

    smoothing = Item(
        float,
        default=0.7,
        minimum=0.01,
        description="Weight of the newest interval in the smoothed expert loads.",
    )
    move_cost = Item(
        float,
        default=0.0005,
        minimum=0.0,
        description="Skew that one expert move must save to be worth it at equal "
        "weights.",
    )
    least_gain = Item(
        float,
        default=0.01,
        minimum=0.0,
        description="Skew that a whole plan must save; smaller plans are held back, so "
        "that noise does not move experts to and fro.",
    )
    step_limit = Item(
        int, default=18, minimum=1, description="Steps of one plan; bounds its time."
    )
    moves_per_interval = Item(
        float,
        default=48.0,
        minimum=0.0,
        description="Share of the weight store's rate, moves an interval.",
    )
    moves_burst = Item(
        float, default=96.0, minimum=1.0, description="Moves that may be saved up."
    )
    slow_rank_ratio = Item(
        float,
        default=1.15,
        minimum=1.0,
        description="A rank is taken for slow above this ratio of its time to the "
        "median rank's at equal load.",
    )
