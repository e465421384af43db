"""Progress of a drain, as requests on open connections need to know it."""

import curio

from siskinthread.http_server._refusal import refuse
from siskinthread.outcomes import Reason
from siskinthread.timing import Deadline

# Part of a drain after which requests that may outlast it are refused, whatever time
# the balancer takes to notice it.
EARLY_SHARE = 0.5


class DrainEndedError(curio.CancelledError):
    """Cancels a request that is still unanswered at the end of a drain."""


class DrainState:
    """Progress of a drain.

    Attributes
    ----------
    ends : siskinthread.timing.Deadline or None
        When requests in flight are aborted; None without a drain.
    refuses_late : bool
        Whether requests that may not end before the drain are refused, however soon
        they are expected to end.
    """

    __slots__ = ("_late_from", "ends", "refuses_late")

    def __init__(self):
        self._late_from = None
        self.ends = None
        self.refuses_late = False

    def begin(self, ends, clock):
        """Begin a drain that aborts requests at the deadline `ends` of a clock."""
        self.ends = ends
        self._late_from = Deadline.after(clock, EARLY_SHARE * ends.left_s())

    def refuse_late_requests(self):
        """Refuse requests that may not end before the drain, from now on."""
        self.refuses_late = True

    def refusal(self, deadline, expected_s=0.0):
        """Return the `Refusal` of a request that may be aborted, or None.

        Parameters
        ----------
        deadline : siskinthread.timing.Deadline
            Deadline of the request.
        expected_s : float
            Time that the request is expected to take, seconds.

        Notes
        -----
        An answer whose head was sent before the drain can't tell its caller that the
        connection ends, so that the next request may follow on it at any time.  Its
        caller retries at once, at a host that has the time to answer.
        """
        if self.ends is None or deadline.at_s <= self.ends.at_s:
            return None
        is_late = self.refuses_late or self._late_from.passed()
        if not is_late and expected_s <= self.ends.left_s():
            return None
        return refuse(
            Reason.NOT_READY,
            "This host is being stopped, and the request may last longer.",
            closes=True,
            retry_after_s=0.0,
        )
