"""Settings of waiting requests and of the retry times of refused callers."""

from siskinthread.settings import Choice, Item, Section


class WaitingSettings(Section):
    """Settings of which requests wait at this host for a target, and how long."""

    is_enabled = Item(
        bool,
        default=True,
        description="Whether requests wait while no target of their service is usable. "
        "Otherwise such a request is sent to a failing target, or refused.",
    )
    order = Item(
        Choice("latest_start", "first_come", "newest_first"),
        default="latest_start",
        description="Which of the waiting requests of one priority goes first.",
    )
    places_limit = Item(
        int,
        default=200,
        minimum=0,
        description="Maximum number of waiting requests. Each takes 6 KB besides its "
        "connection and its body, which have limits of their own.",
    )
    stream_wait_s = Item(
        float,
        default=1.5,
        minimum=0.0,
        description="Maximum time from the arrival of a stream to its start at a "
        "target. Callers abandon a stream after 2 s without an event, and a first "
        "event takes up to 0.5 s.",
    )
    wait_share = Item(
        float,
        default=0.33,
        minimum=0.0,
        description="Maximum wait of other requests, as a fraction of their time limit "
        "on arrival. The rest is for a retry by the caller.",
    )
    urgent_wait_share = Item(
        float,
        default=0.4,
        minimum=0.0,
        description="Maximum wait for a free slot of a request with precedence over "
        "recent less urgent ones, as a fraction of its objective. The request gets the "
        "slots that become free, and the rest of the objective is for its response. 0: "
        "it is refused.",
    )
    priority_memory_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="How long a less urgent request counts as recent for that.",
    )
    least_wait_s = Item(
        float,
        default=0.02,
        minimum=0.0,
        description="Minimum wait that is worth starting.",
    )
    round_s = Item(
        float,
        default=0.02,
        minimum=0.001,
        description="Interval between checks whether a waiting request can be sent.",
    )
    shortage_round_s = Item(
        float,
        default=0.1,
        minimum=0.001,
        description="Interval between these checks while slots are scarce and no "
        "request of this host has ended. A choice takes 3 ms with 192 targets, and "
        "loads are reported ten times a second.",
    )
    tries_limit = Item(
        int,
        default=3,
        minimum=1,
        description="Number of requests for which a target is sought in one check, if "
        "the first ones can't be served for reasons of their own.",
    )
    test_interval_s = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="Interval between requests that test whether an outage is over, "
        "where nothing else reports its end.",
    )
    reported_test_interval_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="The same where group reports should show the end of the outage; "
        "tests cover missing reports.",
    )
    test_limit_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="Time after which a test without any result counts as failed. "
        "Callers abandon a silent stream after that time.",
    )
    outage_memory_count = Item(
        int,
        default=8,
        minimum=1,
        description="Number of outages of a service whose durations are remembered.",
    )
    outage_forgotten_s = Item(
        float,
        default=5.0,
        minimum=0.1,
        description="Time after which an outage that only failed requests have shown "
        "is forgotten unless further requests fail.",
    )
    took_weight = Item(
        float,
        default=0.1,
        minimum=0.01,
        description="Weight of the latest request in the mean duration of the requests "
        "of a route.",
    )


class ReturnSettings(Section):
    """Settings of the retry times of refused callers, and of retry detection."""

    is_enabled = Item(
        bool,
        default=True,
        description="Whether retries are spread over the steps with free slots and "
        "have precedence over first attempts. Otherwise callers are told retry_after_s "
        "of the gateway with random jitter.",
    )
    step_s = Item(
        float,
        default=0.1,
        minimum=0.01,
        description="Length of a step in which retries are counted.",
    )
    booked_share = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Fraction of the rate at which this host can send requests that is "
        "promised to retries. Other callers are told the latest time that they accept. "
        "With a larger fraction, fewer first attempts meet their objective.",
    )
    booked_least_share = Item(
        float,
        default=0.0,
        minimum=0.0,
        description="The same while requests in time use the whole capacity of the "
        "targets: a promised slot then makes another request late, which costs more "
        "than a late response is worth. At lower request rates, the capacity that they "
        "leave is promised, up to booked_share.",
    )
    promise_time_share = Item(
        float,
        default=0.9,
        minimum=0.0,
        description="Fraction of the longest time that callers accept within which "
        "slots are promised. The rest distinguishes retries without a promise from "
        "others.",
    )
    promise_memory_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="How long after its step a promise is valid. Callers may retry at "
        "any host, so the retries of one step differ from the promises.",
    )
    overdraft_limit = Item(
        int,
        default=4,
        minimum=0,
        description="Maximum number of retries within promise_memory_s that are served "
        "like promised ones beyond the promises of this host, as other hosts may have "
        "made the promises.",
    )
    late_s = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="How long before its step a promise is valid.",
    )
    room_ahead_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="How far ahead a first attempt leaves slots for due retries.",
    )
    most_memory_s = Item(
        float,
        default=20.0,
        minimum=0.1,
        description="How long the maximum remaining time of the callers of a route is "
        "remembered.",
    )
    newcomer_memory_s = Item(
        float,
        default=60.0,
        minimum=0.1,
        description="How long the time limit of a first attempt counts as one of its "
        "route. None are recorded while retries are possible; after that time without "
        "any, no request counts as a retry.",
    )
    newcomer_share = Item(
        float,
        default=0.98,
        minimum=0.0,
        description="Fraction of the minimum time limit of first attempts above which "
        "a request counts as a first attempt. A caller that retries at once has lost "
        "some milliseconds.",
    )
    return_least_share = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Minimum remaining time of a retry, as a fraction of the maximum "
        "of its route: it waited at a host and then for a third of the rest. A request "
        "with less never had more.",
    )
    outage_margin = Item(
        float,
        default=4.0,
        minimum=0.0,
        description="Retry time during an outage as a multiple of its expected rest. A "
        "caller that retries too early has no further retry.",
    )
    told_least_share = Item(
        float,
        default=0.04,
        minimum=0.0,
        description="Minimum retry time, as a fraction of the remaining time of the "
        "caller, so that the retry is recognised.",
    )
    kept_memory_count = Item(
        float,
        default=50.0,
        minimum=1.0,
        description="Number of retries over which the fraction of callers that retry "
        "is averaged.",
    )
    kept_least_share = Item(
        float,
        default=0.4,
        minimum=0.01,
        description="Lower bound of that fraction; it limits how many retries a step "
        "gets.",
    )
    services_limit = Item(
        int,
        default=64,
        minimum=1,
        description="Maximum number of services with a retry schedule.",
    )
