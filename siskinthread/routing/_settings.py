"""Settings of the choice of a target."""

from siskinthread.settings import Item, Section


class RoutingSettings(Section):
    """How targets are compared and which targets are avoided."""

    subset_size = Item(
        int,
        default=48,
        minimum=2,
        description="Number of agents up to which an entry host keeps a link to each.",
    )
    service_subset_size = Item(
        int,
        default=8,
        minimum=2,
        description="Least number of links for each service if there are more agents.",
    )
    pool_refresh_s = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Time after which the hosts eligible for an account and a service "
        "are determined again.",
    )
    report_limit_s = Item(
        float,
        default=10.0,
        minimum=0.1,
        description="Age beyond which a load report is not used.",
    )
    others_weight = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Weight of the difference between the other entry hosts' work at a "
        "target and the mean of their work over the failure domain.",
    )
    domain_weight = Item(
        float,
        default=0.6,
        minimum=0.0,
        description="Weight of the difference between the other entry hosts' mean work "
        "in a failure domain and their mean work in all domains.",
    )
    report_smoothing = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="Weight of a new load report in the estimate of the other entry "
        "hosts' work; 1.0 uses the last report alone.",
    )
    choice_count = Item(
        int,
        default=8,
        minimum=1,
        description="Targets that are sampled at random and compared, separately for "
        "the own failure domain and for the others.",
    )
    spill_bound = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="How much more loaded, as a share of its capacity, the own failure "
        "domain may be than another one before requests go to the other one.",
    )
    own_load_limit = Item(
        float,
        default=0.7,
        minimum=0.0,
        description="Load of the own failure domain, as a share of its capacity, from "
        "which on it is preferred only if it is no more loaded than another one.",
    )
    affinity_bound = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="How much more loaded, as a share of its capacity, the target that "
        "last served a prefix may be than the best target and still be preferred.",
    )
    affinity_limit = Item(
        int,
        default=8192,
        minimum=1,
        description="Maximum number of prefixes whose last target is remembered.",
    )
    slow_ratio = Item(
        float,
        default=1.7,
        minimum=1.0,
        description="First-byte time, as a multiple of the targets' median, beyond "
        "which a target is ejected.",
    )
    recovered_ratio = Item(
        float,
        default=1.4,
        minimum=1.0,
        description="First-byte time, as a multiple of the targets' median, below "
        "which an ejected target is readmitted.",
    )
    slow_margin_s = Item(
        float,
        default=0.02,
        minimum=0.0,
        description="Smallest difference to the targets' median that counts as slow.",
    )
    slow_sample_count = Item(
        int,
        default=4,
        minimum=1,
        description="Number of first-byte times that are needed to judge a target.",
    )
    calm_load = Item(
        float,
        default=0.8,
        minimum=0.0,
        description="Load, as a share of its capacity, below which two slow first "
        "bytes in a row are enough to eject a target; above, they may result from its "
        "queue, and three of four are needed.",
    )
    ejection_limit_fraction = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Largest share of a service's targets that may be ejected.",
    )
    ejection_load_limit = Item(
        float,
        default=0.9,
        minimum=0.0,
        description="Largest load of the remaining targets, as a share of their "
        "capacity, at which a slow target is ejected.",
    )
    stall_limit_s = Item(
        float,
        default=3.0,
        minimum=0.01,
        description="Time without any first byte, while one is awaited, after which a "
        "target is ejected as stalled.",
    )
    failure_limit_count = Item(
        int,
        default=3,
        minimum=1,
        description="Consecutive failures without a first byte after which a target is "
        "ejected.",
    )
    review_interval_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Time between comparisons of the first-byte times.",
    )
    probe_interval_s = Item(
        float,
        default=2.0,
        minimum=0.01,
        description="Time between an ejection and the first probe; it doubles with "
        "each slow probe.",
    )
    probe_interval_limit_s = Item(
        float,
        default=30.0,
        minimum=0.01,
        description="Longest time between two probes.",
    )
