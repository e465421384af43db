"""The dispatcher: the parts that the answers of all requests share."""

import random

from siskinthread.dispatch._answer import Answer
from siskinthread.dispatch._measures import DispatchMeasures
from siskinthread.dispatch._retrying import Retry


class Dispatcher:
    """Sends admitted requests to targets.

    Parameters
    ----------
    settings : DispatchSettings
        Limits of attempts, retries and waits.
    view : siskinthread.configuration.ConfigurationView
        View of the configuration in force.
    links : siskinthread.links.AgentLinks
        Links to the agents.
    router : siskinthread.routing.Router
        Chooses the targets.
    retry_budget : siskinthread.admission.RetryBudget
        Limits the retries of this entry, so that retries can't amplify an overload.
    clock : siskinthread.timing.Clock
        Clock for deadlines and durations.
    metrics : siskinthread.observability.Metrics
        Registry of the metrics.
    randomness : random.Random or None
        Random source of the back-off's jitter; a new one if None.
    request_link : callable or None
        Called with the host name of a key's home to which there is no link.
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
        request_link=None,
    ):
        self.settings = settings
        self.view = view
        self.links = links
        self.router = router
        self.retry_budget = retry_budget
        self.clock = clock
        self.measures = DispatchMeasures(metrics)
        self._randomness = randomness or random.Random()
        self._want_link = request_link

    async def begin(self, request):
        """Return the `Answer` to a request.

        Parameters
        ----------
        request : CallerRequest
            An admitted request.

        Returns
        -------
        Answer
            Nothing is sent to a target before the first event is requested.
        """
        self.retry_budget.note_request()
        return Answer(self, request)

    def is_connected(self, host):
        """Return whether the link to `host` is up."""
        status = self.links.status(host)
        return status is not None and status.connected

    def request_link(self, host):
        """Request a link to a key's home unless a link exists."""
        if self._want_link is not None and self.links.status(host) is None:
            self._want_link(host)

    def back_off_s(self, retry, attempt_count):
        """Return the wait before the next attempt, seconds.

        Parameters
        ----------
        retry : Retry
            Where the next attempt may go.
        attempt_count : int
            Number of attempts so far, at least one.
        """
        settings = self.settings
        if retry is Retry.HOME:
            longest_s = settings.home_back_off_s
        else:
            doubled_s = settings.first_back_off_s * 2 ** (attempt_count - 1)
            longest_s = min(doubled_s, settings.longest_back_off_s)
        return longest_s * self._randomness.uniform(0.5, 1.0)
