"""The links of one entry to all of its agents."""

import itertools

import curio

from siskinthread.control import LinkListener
from siskinthread.links._deadline_queue import DeadlineQueue
from siskinthread.links._exchange import Exchange
from siskinthread.links._link import Link
from siskinthread.links._metrics import LinkMetrics
from siskinthread.links._shared import SharedParts
from siskinthread.outcomes import Reason
from siskinthread.wire import encode_frame, Frame


class AgentLinks:
    """One link for each agent host.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : PeerSettings
        Keys, waits and limits.
    clock : Clock
        The process's clock.
    metrics : siskinthread.observability.Metrics or None
        Where the counters live.
    control : siskinthread.control.LinkListener or None
        Passes the configuration on over the links.
    """

    __slots__ = ("_attempts", "_changed", "_links", "_settings", "_shared", "_tasks")

    def __init__(self, identity, settings, clock, metrics, control=None):
        self._settings = settings
        self._shared = SharedParts(
            identity,
            settings,
            clock,
            LinkMetrics(metrics),
            DeadlineQueue(),
            control or LinkListener(),
        )
        self._attempts = itertools.count(1)
        self._links = {}
        self._tasks = {}
        # May be set outside of a coroutine, since `reconcile` is called from listeners.
        self._changed = curio.UniversalEvent()

    def reconcile(self, addresses):
        """Take over the agents that are there.

        Parameters
        ----------
        addresses : dict
            Host name to `Address`.  A host that is no longer in it keeps its link until
            nothing is in flight there.
        """
        for host, address in addresses.items():
            link = self._links.get(host)
            if link is None:
                self._links[host] = Link(host, address, self._shared)
                continue
            link.retired = False
            link.move_to(address)
        for host, link in self._links.items():
            link.retired = host not in addresses
        self._changed.set()

    def status(self, host):
        """Return the `LinkStatus` of a host, or None if it has no link."""
        link = self._links.get(host)
        return None if link is None else link.status

    def connected_hosts(self):
        """Return the names of the hosts that may be sent new requests now."""
        return [host for host, link in self._links.items() if link.usable]

    async def wait_until_connected(self, deadline):
        """Wait until some host may be sent new requests.

        Parameters
        ----------
        deadline : Deadline
            When to give up.

        Returns
        -------
        bool
            Whether there is such a host.

        Notes
        -----
        An entry that was paused for longer than the silence limit finds all of its
        links closed when it wakes, and has new ones some milliseconds later.
        """
        connected = self._shared.connected
        while not any(link.usable for link in self._links.values()):
            if deadline.passed():
                return False
            connected.clear()
            await curio.ignore_after(deadline.left_s(), connected.wait)
        return True

    async def start(self, host, start_request, deadline):
        """Send a request to the agent of a host.

        Parameters
        ----------
        host : str
            Name of the host.
        start_request : StartRequest
            Complete but for its attempt, window and time left, which are set here.
        deadline : Deadline
            When the answer must be there.

        Returns
        -------
        Exchange
        """
        start_request.attempt = next(self._attempts)
        start_request.window_bytes = self._settings.window_bytes
        start_request.time_left_ms = deadline.left_ms()
        link = self._links.get(host)
        exchange = Exchange(link, start_request, deadline)
        if deadline.passed():
            exchange.finish(exchange.broken_end(Reason.DEADLINE_PASSED))
        elif self._is_too_long(start_request):
            exchange.finish(exchange.broken_end(Reason.BAD_REQUEST))
        elif link is None:
            exchange.finish(exchange.unreachable_end())
        else:
            await link.add(exchange)
        return exchange

    def _is_too_long(self, start_request):
        # The agent would close the connection over such a frame, and every other
        # request on it would have to be resumed.
        length_bytes = len(encode_frame(Frame(start=start_request)))
        return length_bytes > self._settings.frame_limit_bytes

    async def run(self):
        """Run the links until cancelled; one task for each agent."""
        deadlines_task = await curio.spawn(self._shared.deadlines.run, daemon=True)
        try:
            while True:
                self._changed.clear()
                await self._start_new_links()
                await self._changed.wait()
        finally:
            await deadlines_task.cancel()
            for task in list(self._tasks.values()):
                await task.cancel()

    async def _start_new_links(self):
        for host, link in list(self._links.items()):
            if host not in self._tasks:
                self._tasks[host] = await curio.spawn(self._run_link, link, daemon=True)

    async def _run_link(self, link):
        # Nothing may be awaited between the end of the link and its removal: a host
        # that came back in between would be left with a link that no task serves.
        try:
            await link.run()
        finally:
            del self._tasks[link.host]
            del self._links[link.host]
