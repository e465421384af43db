"""Settings of the planner of expert maps."""

from siskinthread.settings import Item, Section


class PlannerSettings(Section):
    """Costs, hysteresis and limits of changes of an expert map."""

    smoothing = Item(
        float,
        default=0.7,
        minimum=0.01,
        description="Weight of the newest interval in the smoothed expert loads and "
        "rank times.",
    )
    move_cost = Item(
        float,
        default=0.0005,
        minimum=0.0,
        description="Skew that each expert move must save if the published weights of "
        "skew and cost are equal.",
    )
    least_gain = Item(
        float,
        default=0.01,
        minimum=0.0,
        description="Skew that a plan must save in addition to the cost of its moves; "
        "otherwise noise would move experts back and forth.",
    )
    step_limit = Item(
        int,
        default=18,
        minimum=1,
        description="Maximum number of search steps of a plan; bounds the time of "
        "planning.",
    )
    moves_per_interval = Item(
        float,
        default=48.0,
        minimum=0.0,
        description="Rate at which a group may load experts from the weight store, "
        "moves per planning interval.",
    )
    moves_burst = Item(
        float,
        default=96.0,
        minimum=1.0,
        description="Maximum number of unused moves that may accumulate for later "
        "plans.",
    )
    slow_rank_ratio = Item(
        float,
        default=1.15,
        minimum=1.0,
        description="A rank counts as slow if its time per token exceeds that of the "
        "median rank by this ratio.",
    )
