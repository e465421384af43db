"""Settings of admission."""

from siskinthread.settings import Item, Section


class AdmissionSettings(Section):
    """Limits, early shedding and the budget of retries."""

    in_flight_limit = Item(
        int,
        default=2000,
        minimum=1,
        description="Requests in flight at this entry host at which even the most "
        "urgent are refused.",
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
        description="Share of either limit from which the least urgent requests are "
        "refused.",
    )
    lowest_priority = Item(
        int,
        default=4,
        minimum=1,
        description="Priority from which on requests count as the least urgent.",
    )
    overloaded_retry_after_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="When a request refused for overload may come back.",
    )
    retry_share = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Largest number of retries as a share of the recent requests.",
    )
    retry_floor_count = Item(
        int,
        default=3,
        minimum=0,
        description="Retries allowed within the window on top of that share.",
    )
    retry_window_s = Item(
        float,
        default=10.0,
        minimum=0.1,
        description="Time for which requests and retries count as recent.",
    )


class ShareSettings(Section):
    """Borrowing of parts of limits between entry hosts."""

    lease_s = Item(
        float,
        default=60.0,
        minimum=0.1,
        description="Time for which a part is lent, counted from the request for it.",
    )
    margin_fraction = Item(
        float,
        default=0.05,
        minimum=0.0,
        description="Share of the lease for which the lender keeps off its part beyond "
        "the lease, for clocks that run at different rates.",
    )
    idle_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Time without a request of an account after which its part may be "
        "lent.",
    )
    wish_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time after a refusal in which other hosts' parts are asked for.",
    )
    lend_fraction = Item(
        float,
        default=0.9,
        minimum=0.0,
        description="Share of the own part that is lent; the rest serves the account "
        "if it comes here after all.",
    )
    ask_count = Item(
        int,
        default=4,
        minimum=1,
        description="Hosts that are asked at once for the part of one account.",
    )
