"""Settings of dispatch."""

from siskinthread.settings import Item, Section


class DispatchSettings(Section):
    """Attempts and retries of one request."""

    attempt_limit = Item(
        int, default=3, minimum=1, description="Maximum number of attempts per request."
    )
    first_back_off_s = Item(
        float,
        default=0.02,
        minimum=0.0,
        description="Upper bound of the back-off before the second attempt. It doubles "
        "with each further attempt; each wait is drawn uniformly between half of the "
        "bound and the bound.",
    )
    longest_back_off_s = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="Largest bound of the back-off after doubling.",
    )
    home_back_off_s = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Upper bound of the wait before a request with an idempotency key "
        "is sent to its home again after `wrong_home`, which means that either the "
        "entry or the home has an older configuration.",
    )
    link_wait_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Longest wait for the link to the home of an idempotency key, or "
        "for any link while none is up; limited to half of the time left until the "
        "deadline.",
    )
    lost_link_wait_s = Item(
        float,
        default=0.5,
        minimum=0.001,
        description="Interval between checks of the link of a request that may be "
        "repeated and of whose response nothing was relayed. The request is sent to "
        "another target after two consecutive checks that find the link down.",
    )
    link_check_interval_s = Item(
        float,
        default=0.1,
        minimum=0.001,
        description="Interval between checks while waiting for a link.",
    )
    retry_after_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Retry delay returned to a caller whose request got no answer, "
        "if the target stated none.",
    )
