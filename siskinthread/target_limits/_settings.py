"""Settings of the rate limits, back-offs and cold starts of targets."""

from siskinthread.settings import Item, Section


class TargetLimitSettings(Section):
    """How much of a stated limit is used, and how long limits are remembered."""

    window_s = Item(
        float,
        default=4.0,
        minimum=0.1,
        description="Window within which a target gets at most `excess_ratio` times "
        "its limit and `excess_count` requests more.",
    )
    excess_ratio = Item(
        float,
        default=1.5,
        minimum=1.0,
        description="Ratio of the requests that a target may get within a window to "
        "its limit.",
    )
    excess_count = Item(
        int,
        default=5,
        minimum=0,
        description="Requests that a target may get within a window in addition.",
    )
    deviation_count = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Standard deviations between the mean number of requests that a "
        "target gets within a window and the allowed maximum. Hosts that each send it "
        "a request now and then exceed the mean by chance.",
    )
    used_share = Item(
        float,
        default=0.9,
        minimum=0.1,
        description="Largest fraction of a limit that is used. The rest covers "
        "requests that hosts have not reported to each other yet.",
    )
    asked_memory_s = Item(
        float,
        default=1.5,
        minimum=0.1,
        description="Time constant of the average rate of callers' requests.",
    )
    many_asked_count = Item(
        float,
        default=4.0,
        minimum=0.0,
        description="Callers' requests within `asked_memory_s` from which on a host "
        "meters its share of a limit; with fewer, requests are selected at random.",
    )
    urgent_memory_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="How long the most urgent priority of a service's requests counts. "
        "Part of the allowance that a host has saved is kept for this priority.",
    )
    saved_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Time over which a host saves the unused part of its share.",
    )
    saved_count = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Requests of a limit that all hosts together save in addition, "
        "each in proportion to its share.",
    )
    test_wait_s = Item(
        float,
        default=2.0,
        minimum=0.1,
        description="Time without a statement of a limited target after which one host "
        "sends it a request, to learn whether the limit has ended; the next host does "
        "so after twice that time, and so on.",
    )
    ended_told_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="How long hosts report the end of a limit to each other.",
    )
    doubling_s = Item(
        float,
        default=0.5,
        minimum=0.01,
        description="Time in which the rate of a target doubles after the end of its "
        "limit, for `doubling_count` doublings.",
    )
    doubling_count = Item(
        int,
        default=6,
        minimum=0,
        description="Doublings after which a target whose limit has ended is "
        "unrestricted; 3 s with the default `doubling_s`.",
    )
    memory_s = Item(
        float,
        default=60.0,
        minimum=1.0,
        description="Time without an answer of a target to any host after which its "
        "limit is forgotten. With callers, one host tests it every 2 s.",
    )
    targets_limit = Item(
        int,
        default=1024,
        minimum=1,
        description="Maximum number of targets whose limits are remembered.",
    )
    told_limit = Item(
        int,
        default=48,
        minimum=1,
        description="Maximum number of limits in a datagram, the newest first; 2 KB of "
        "its 8 KB.",
    )


class TargetBackoffSettings(Section):
    """How a host resumes sending to a target that has requested back-off from it."""

    try_wait_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Time after a request to a target whose back-off has ended, "
        "without an answer, until the target gets another request.",
    )
    spread_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Shortest time after the end of a back-off over which refused "
        "callers are spread when there are more of them than retry slots.",
    )
    told_margin_s = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="Time after the end of a back-off for which hosts that learnt of "
        "it from a peer still prefer other targets, so that the host that was asked to "
        "back off tries first.",
    )
    return_memory_s = Item(
        float,
        default=10.0,
        minimum=0.1,
        description="Time after the end of a back-off from which on a target that has "
        "got no request is unrestricted.",
    )
    targets_limit = Item(
        int,
        default=1024,
        minimum=1,
        description="Maximum number of targets whose back-offs are remembered.",
    )
    told_limit = Item(
        int,
        default=32,
        minimum=1,
        description="Maximum number of back-offs in a datagram, about 1 KB of its 8 "
        "KB.",
    )


class ColdTargetSettings(Section):
    """How many requests a target may get while it is cold after a start."""

    excess_ratio = Item(
        float,
        default=0.0,
        minimum=0.0,
        description="Ratio of the requests that a cold target may get within any "
        "second to the rate that its service states. 0 disables the rule.",
    )
    excess_count = Item(
        float,
        default=0.0,
        minimum=0.0,
        description="Requests that a cold target may get within any second in "
        "addition.",
    )
    used_share = Item(
        float,
        default=0.9,
        minimum=0.1,
        description="Largest fraction of that bound that is used.",
    )
    window_s = Item(
        float,
        default=1.02,
        minimum=1.0,
        description="Time for which a request counts after it was written. Links delay "
        "requests unequally, by up to 15 ms between failure domains.",
    )
    told_limit = Item(
        int,
        default=32,
        minimum=1,
        description="Maximum number of cold targets in a datagram, about 1 KB of its 8 "
        "KB, and likewise of failed targets.",
    )
    failure_told_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Time after a failure of a target for which the failure is "
        "reported to peers, which treat the target as cold if two of them report it. A "
        "process that restarts under the same id is back within this time, and then "
        "states itself that it is cold. 0 reports no failures.",
    )
