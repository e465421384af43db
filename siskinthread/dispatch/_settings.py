"""Settings of dispatch."""

from siskinthread.settings import Item, Section


class DispatchSettings(Section):
    """Attempts and retries of one request."""

    attempt_limit = Item(
        int, default=3, minimum=1, description="Most attempts for one request."
    )
    first_back_off_s = Item(
        float,
        default=0.02,
        minimum=0.0,
        description="Longest wait before the second attempt; it doubles for each "
        "further one and every wait is drawn between half of it and all of it.",
    )
    longest_back_off_s = Item(
        float, default=0.2, minimum=0.0, description="Bound of the doubled wait."
    )
    home_back_off_s = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Longest wait before a request with an idempotency key goes to its "
        "home again after `wrong_home`: one of the two has an older configuration.",
    )
    link_wait_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Longest wait for the link to the home of an idempotency key, or "
        "for any link while there is none; half of the time left to the deadline if "
        "that is less.",
    )
    lost_link_wait_s = Item(
        float,
        default=0.5,
        minimum=0.001,
        description="Time between looks at the link of a request that may be repeated "
        "and of which nothing was shown; it goes elsewhere after two looks at a link "
        "that is down.",
    )
    link_check_interval_s = Item(
        float,
        default=0.1,
        minimum=0.001,
        description="Time between looks at a link that is waited for.",
    )
    retry_after_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="When to come back, told to a caller whose request got no answer "
        "and where the target named no time.",
    )
