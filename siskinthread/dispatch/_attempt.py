"""One attempt: its target, its exchange and its reports to the router."""

import curio

from siskinthread.dispatch._starting import build_start_request
from siskinthread.outcomes import End, Outcome, Reason


class Attempt:
    """An attempt of a request at one target.

    Parameters
    ----------
    dispatcher : Dispatcher
        Owner of the router, the links and the settings.
    request : CallerRequest
        The request.
    host : str
        Name of the target's host.

    Attributes
    ----------
    exchange : siskinthread.links.Exchange or None
        Source of the events of the response; None until the attempt is started.
    """

    __slots__ = (
        "_dispatcher",
        "_request",
        "_started_at_s",
        "exchange",
        "host",
    )

    def __init__(self, dispatcher, request, host):
        self._dispatcher = dispatcher
        self._request = request
        self.exchange = None
        self._started_at_s = dispatcher.clock.monotonic_s()
        self.host = host

    @property
    def written(self):
        """Whether any byte of the request was written to a connection to the agent."""
        return self.exchange is not None and self.exchange.written

    async def start(self, state):
        """Pass the request to the link of the target's host.

        Parameters
        ----------
        state : siskinthread.configuration.State
            Configuration with which the host was chosen.
        """
        start_request = build_start_request(self._request, state)
        self._dispatcher.router.started(self.host, self._request)
        # If the caller left and its task were cancelled in here, the link would hold an
        # exchange that nothing cancels, and the target would run an unwanted request.
        async with curio.disable_cancellation():
            self.exchange = await self._dispatcher.links.start(
                self.host, start_request, self._request.deadline
            )

    async def next_event_unless_unreachable(self):
        """Return the next event, or cancel if the agent stays unreachable.

        Returns
        -------
        Head, Part or End
            An ``UNKNOWN`` end once two checks, ``lost_link_wait_s`` apart, found the
            link down.

        Notes
        -----
        For requests that may be repeated and of whose response nothing was relayed.
        The link queries an unreachable agent for up to ``reask_limit_s``, because other
        requests can be resolved only by that agent.  Repeatable requests would wait as
        long for their first byte although any other target could answer them.
        """
        interval_s = self._dispatcher.settings.lost_link_wait_s
        was_down = False
        while True:
            event = await curio.ignore_after(interval_s, self.exchange.next_event)
            if event is not None:
                return event
            is_down = not self._dispatcher.is_connected(self.host)
            if is_down and was_down:
                await self.cancel()
                message = "The agent is unreachable."
                return End(Outcome.UNKNOWN, Reason.AGENT_UNREACHABLE, message)
            was_down = is_down

    def note_first_byte(self):
        """Report the time to the first byte of the body to the router."""
        now_s = self._dispatcher.clock.monotonic_s()
        self._dispatcher.router.first_byte(
            self.host, self._request, now_s - self._started_at_s
        )

    def finish(self, outcome):
        """Report the end of the attempt to the router."""
        self._dispatcher.router.ended(self.host, self._request, outcome, None)

    async def cancel(self):
        """Cancel the exchange with the target's agent."""
        if self.exchange is not None:
            await self.exchange.cancel()
