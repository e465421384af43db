"""The dispatcher: what the answers of all requests share."""

import random

from siskinthread.dispatch._answer import Answer
from siskinthread.dispatch._measures import DispatchMeasures
from siskinthread.dispatch._retrying import Retry


class Dispatcher:
    """Turns admitted requests into answers.

    Parameters
    ----------
    settings : DispatchSettings
        Attempts and retries.
    view : siskinthread.configuration.ConfigurationView
        The configuration in force.
    links : siskinthread.links.AgentLinks
        Links to the agents.
    router : siskinthread.routing.Router
        Choice of the target.
    retry_budget : siskinthread.admission.RetryBudget
        Bounds the retries of this entry, so that they can't multiply an overload.
    clock : siskinthread.timing.Clock
        Clock of the measurements.
    metrics : siskinthread.observability.Metrics
        Where metrics are registered.
    randomness : random.Random or None
        Source of the jitter.
    want_link : callable or None
        Is told the name of a key's home to which there is no link.
    """

    __slots__ = (
        "_randomness",
        "_want_link",
        "clock",
        "links",
        "measures",
        "retry_budget",
        "router",
        "settings",
        "view",
    )

    def __init__(
        self,
        settings,
        view,
        links,
        router,
        retry_budget,
        clock,
        metrics,
        randomness=None,
        want_link=None,
    ):
        self.settings = settings
        self.view = view
        self.links = links
        self.router = router
        self.retry_budget = retry_budget
        self.clock = clock
        self.measures = DispatchMeasures(metrics)
        self._randomness = randomness or random.Random()
        self._want_link = want_link

    async def begin(self, request):
        """Return the `Answer` to a request.

        Parameters
        ----------
        request : CallerRequest
            An admitted request.

        Returns
        -------
        Answer
            Nothing is sent before its first event is asked for.
        """
        self.retry_budget.note_request()
        return Answer(self, request)

    def is_connected(self, host):
        """Return whether the link to a host is up."""
        status = self.links.status(host)
        return status is not None and status.connected

    def want_link(self, host):
        """Have a link made to a key's home unless there is one."""
        if self._want_link is not None and self.links.status(host) is None:
            self._want_link(host)

    def back_off_s(self, retry, attempt_count):
        """Return the wait before the next attempt, seconds.

        Parameters
        ----------
        retry : Retry
            Where the next attempt goes.
        attempt_count : int
            Attempts so far, at least one.
        """
        settings = self.settings
        if retry is Retry.HOME:
            longest_s = settings.home_back_off_s
        else:
            doubled_s = settings.first_back_off_s * 2 ** (attempt_count - 1)
            longest_s = min(doubled_s, settings.longest_back_off_s)
        return longest_s * self._randomness.uniform(0.5, 1.0)
