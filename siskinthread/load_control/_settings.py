"""Settings of admission under load."""

from siskinthread.settings import Item, Section


class LoadControlSettings(Section):
    """Settings of which requests are refused as targets fill up."""

    is_reserve_used = Item(
        bool,
        default=True,
        description="Whether less urgent requests are refused earlier, so that slots "
        "are left for more urgent ones.",
    )
    late_gives_way = Item(
        bool,
        default=True,
        description="Whether requests that have already missed their objective, "
        "because they were refused before or waited for the end of an outage, leave "
        "slots to requests of their priority that can still meet theirs. Requests with "
        "a promised slot are exempt.",
    )
    late_room_deviations = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Safety margin for requests that can still meet their objective: "
        "slots are left for their expected number until a slot becomes free plus this "
        "many standard deviations, before late requests get one.",
    )
    late_room_memory_s = Item(
        float,
        default=0.1,
        minimum=0.01,
        description="Minimum averaging time of the rate of such requests; the mean "
        "duration of a request if that is longer. After a burst, slots stay idle until "
        "the burst has decayed from the average.",
    )
    late_room_count = Item(
        float,
        default=8.0,
        minimum=0.0,
        description="Number of requests over which that rate is averaged, for at most "
        "rate_memory_s. A rate from fewer requests fluctuates.",
    )
    are_shares_used = Item(
        bool,
        default=True,
        description="Whether a host adds at most its share of the free slots until the "
        "next load reports, where requests are shorter than the interval between "
        "reports.",
    )
    are_passes_used = Item(
        bool,
        default=False,
        description="Whether a group admits a further stream only while its passes "
        "stay within the permitted pause. Where the expert map follows the demand "
        "within a second, this refuses streams that would have met their objective.",
    )
    are_sizes_used = Item(
        bool,
        default=True,
        description="Whether a request goes only to targets with free memory for its "
        "tokens.",
    )
    rate_memory_s = Item(
        float,
        default=2.0,
        minimum=0.1,
        description="Averaging time of the request rates by priority. At six requests "
        "a second, a host averages over twelve requests.",
    )
    surge_memory_s = Item(
        float,
        default=0.5,
        minimum=0.1,
        description="Averaging time of the request rates of client accounts. A surge "
        "fills all slots within a few tenths of a second.",
    )
    priority_memory_s = Item(
        float,
        default=10.0,
        minimum=0.1,
        description="How long a priority counts as requested after its last request.",
    )
    reserve_deviations = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Standard deviations of the number of urgent requests that the "
        "reserve covers beyond its mean. Requests beyond the reserve may queue.",
    )
    reserve_deviations_unqueued = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="The same where targets do not queue requests; the reserve is then "
        "exceeded once in 40 times.",
    )
    reserve_limit_share = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="Maximum fraction of the slots that is reserved. Less urgent "
        "requests keep the rest at any rate of urgent ones.",
    )
    queue_share = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Fraction of the time to spare until its objective that a request "
        "may spend in the queue of a target if less urgent requests fill the slots. "
        "The rest allows for stale loads.",
    )
    queue_limit_share = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Maximum number of requests in such a queue, as a fraction of the "
        "slots.",
    )
    queue_memory_s = Item(
        float,
        default=60.0,
        minimum=0.0,
        description="How long the targets of a service count as not queueing requests "
        "after one has declined a request with all slots in use and no request "
        "waiting.",
    )
    stale_ratio = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="Number of intervals between load reports that a request must last "
        "for reported loads to count as current. Loads reported by peers are up to one "
        "interval old, and the effect of a decision is visible to peers after another "
        "interval.",
    )
    overload_ratio = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Ratio of the requested rate to the capacity of the targets above "
        "which hosts keep to their shares. Below, an unused share costs more than a "
        "slot that two hosts fill.",
    )
    share_news_count = Item(
        float,
        default=3.0,
        minimum=0.1,
        description="Number of load report intervals for which a share of the free "
        "slots is valid. Requests that all hosts have added in one interval are "
        "visible in the reports of the next.",
    )
    idle_limit_share = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Maximum number of requests beyond the slots, as a fraction of the "
        "slots, that make up for shares left idle by hosts until their next request. "
        "These requests queue briefly at targets.",
    )
    pass_share = Item(
        float,
        default=0.8,
        minimum=0.0,
        description="Fraction of the permitted pause within which the pass of a group "
        "must stay with a further stream. The rest allows for network time to the "
        "caller, for prompts, which lengthen passes to up to 1.15 times the "
        "prediction, and for streams that other hosts start at the same time.",
    )
    urgent_pass_share = Item(
        float,
        default=0.9,
        minimum=0.0,
        description="The same for streams that have precedence over less urgent ones. "
        "Less urgent streams leave the margin for unreported load.",
    )
    less_urgent_pass_share = Item(
        float,
        default=0.65,
        minimum=0.0,
        description="The same for streams that yield to more urgent ones. The more "
        "urgent streams need the difference until running streams end.",
    )
    reopen_share = Item(
        float,
        default=0.93,
        minimum=0.0,
        description="Fraction of that bound to which the pass must fall before a group "
        "that stopped admitting streams admits them again. Consecutive passes differ "
        "by less than this hysteresis.",
    )
    pass_memory_s = Item(
        float,
        default=0.4,
        minimum=0.01,
        description="Smoothing time of the number of requests of a group, equal to "
        "that of its measured passes: five passes of 0.08 s.",
    )
    shortage_memory_s = Item(
        float,
        default=3.0,
        minimum=0.1,
        description="Averaging time of the rate of requests that found no free memory; "
        "longer than the time until their callers retry, a third of 8 s.",
    )
    kept_limit_share = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="Maximum fraction of the targets, those with most free memory, "
        "that is reserved for such requests. Where large and small requests compete "
        "for memory, about equal fractions of both are then served.",
    )
    excess_told_limit = Item(
        int,
        default=32,
        minimum=0,
        description="Maximum number of targets for which a datagram reports the tokens "
        "beyond the typical request size, some 1 KB of its 8 KB.",
    )
    smaller_share = Item(
        float,
        default=0.75,
        minimum=0.0,
        description="Size, relative to that of a request that found no target, below "
        "which a request counts as smaller.",
    )
    long_prompt_ratio = Item(
        float,
        default=4.0,
        minimum=1.0,
        description="Prompt length, relative to the typical one, above which reading "
        "the prompt delays the first events of other requests.",
    )
    usual_weight = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Weight of the newest request in the mean request duration, and of "
        "the newest loads in the mean ratio of the load of all hosts to that of this "
        "host.",
    )
