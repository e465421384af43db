"""Settings of admission."""

from siskinthread.settings import Item, Section


class AdmissionSettings(Section):
    """Limits, load shedding and the retry budget."""

    in_flight_limit = Item(
        int,
        default=2000,
        minimum=1,
        description="Number of requests in flight at this entry host at which even the "
        "most urgent requests are refused.",
    )
    target_load_limit = Item(
        float,
        default=3.0,
        minimum=0.1,
        description="Load of a service's targets, as a multiple of their capacity, at "
        "which even the most urgent requests are refused.",
    )
    shed_start_fraction = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Fraction of `in_flight_limit` and `target_load_limit` at which "
        "the least urgent requests are refused.",
    )
    lowest_priority = Item(
        int,
        default=4,
        minimum=1,
        description="Priority number of the least urgent requests; higher numbers are "
        "treated alike.",
    )
    overloaded_retry_after_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Time after which a request refused for overload may be retried.",
    )
    retry_share = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Largest number of recent retries as a fraction of the recent "
        "requests.",
    )
    retry_floor_count = Item(
        int,
        default=3,
        minimum=0,
        description="Retries allowed within `retry_window_s` in addition to "
        "`retry_share`.",
    )
    retry_window_s = Item(
        float,
        default=10.0,
        minimum=0.1,
        description="Time for which requests and retries count as recent in the retry "
        "budget.",
    )


class ShareSettings(Section):
    """Lending of shares of limits between entry hosts."""

    lease_s = Item(
        float,
        default=60.0,
        minimum=0.1,
        description="Time for which a share is lent, counted from the request for it.",
    )
    margin_fraction = Item(
        float,
        default=0.05,
        minimum=0.0,
        description="Additional time for which the lender does not use a lent share, "
        "as a fraction of the lease; allows for clocks that run at different rates.",
    )
    idle_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Time without a request of an account after which its share may be "
        "lent.",
    )
    wish_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time after a refusal for which shares are requested from other "
        "hosts.",
    )
    lend_fraction = Item(
        float,
        default=0.9,
        minimum=0.0,
        description="Fraction of the own share that is lent; the rest serves requests "
        "of the account that arrive here during the loan.",
    )
    ask_count = Item(
        int,
        default=4,
        minimum=1,
        description="Number of hosts that are asked at a time for their share of an "
        "account's limit.",
    )
