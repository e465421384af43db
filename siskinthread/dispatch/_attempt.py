"""One attempt: its target, its exchange and its accounting with the router."""

import curio

from siskinthread.dispatch._starting import build_start_request
from siskinthread.outcomes import End, Outcome, Reason


class Attempt:
    """A request on its way to one target.

    Parameters
    ----------
    dispatcher : Dispatcher
        The parts that attempts need.
    request : CallerRequest
        The request.
    host : str
        Name of the target's host.

    Attributes
    ----------
    exchange : siskinthread.links.Exchange or None
        The events of the response; None until it is started.
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
        """Whether the request reached a connection to the agent, even partly."""
        return self.exchange is not None and self.exchange.written

    async def start(self, state):
        """Hand the request to the link of the target's host.

        Parameters
        ----------
        state : siskinthread.configuration.State
            The configuration by which the host was chosen.
        """
        start_request = build_start_request(self._request, state)
        self._dispatcher.router.started(self.host, self._request)
        # If the task of a caller that left ended inside, the link would hold an
        # exchange that nobody could cancel, and the target would run it for nobody.
        async with curio.disable_cancellation():
            self.exchange = await self._dispatcher.links.start(
                self.host, start_request, self._request.deadline
            )

    async def next_event_unless_lost(self):
        """Return the next event, or give up an agent that stays out of reach.

        Returns
        -------
        Head, Part or End
            ``UNKNOWN`` once the link was down at two looks, ``lost_link_wait_s`` apart.

        Notes
        -----
        For requests that may be repeated and of which nothing was shown.  The link asks
        a lost agent again for a long time, since nothing but its answer helps other
        requests; these would wait with it although any other target could answer them.
        One would notice first bytes that come only after ``reask_limit_s``.
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
        """Tell the router that the first byte of the body has come."""
        now_s = self._dispatcher.clock.monotonic_s()
        self._dispatcher.router.first_byte(
            self.host, self._request, now_s - self._started_at_s
        )

    def finish(self, outcome):
        """Tell the router that the attempt is over."""
        self._dispatcher.router.ended(self.host, self._request, outcome, None)

    async def cancel(self):
        """Tell the target's agent that nothing more is wanted."""
        if self.exchange is not None:
            await self.exchange.cancel()
