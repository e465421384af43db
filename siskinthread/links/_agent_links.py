"""Links of an entry to all of its agents."""

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
    """Links of an entry, one for each agent host.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : PeerSettings
        Keys, waits and limits.
    clock : Clock
        The process's clock.
    metrics : siskinthread.observability.Metrics or None
        Registry of the counters; without it nothing is counted.
    control : siskinthread.control.LinkListener or None
        Exchanges the configuration with agents over the links.
    """

    __slots__ = (
        "_attempt_numbers",
        "_changed",
        "_links",
        "_settings",
        "_shared",
        "_tasks",
    )

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
        self._attempt_numbers = itertools.count(1)
        self._links = {}
        self._tasks = {}
        # Can be set outside of a coroutine, since `reconcile` is called by listeners.
        self._changed = curio.UniversalEvent()

    def reconcile(self, addresses):
        """Add, move and retire links so that they match a set of agents.

        Parameters
        ----------
        addresses : dict
            Host name to `Address`.  The link of a host that was removed is kept until
            nothing is in flight on it.
        """
        for host, address in addresses.items():
            link = self._links.get(host)
            if link is None:
                self._links[host] = Link(host, address, self._shared)
                continue
            link.retired = False
            link.set_address(address)
        for host, link in self._links.items():
            link.retired = host not in addresses
        self._changed.set()

    def status(self, host):
        """Return the `LinkStatus` of a host, or None if it has no link."""
        link = self._links.get(host)
        return None if link is None else link.status

    def connected_hosts(self):
        """Return the names of the hosts to which new requests may be sent."""
        return [host for host, link in self._links.items() if link.usable]

    async def wait_until_connected(self, deadline):
        """Wait until new requests may be sent to some host.

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
        links closed when it resumes, and has new links some milliseconds later.
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
            The request; its attempt, window and time left are set here.
        deadline : Deadline
            When the whole answer must have arrived.

        Returns
        -------
        Exchange
        """
        start_request.attempt = next(self._attempt_numbers)
        start_request.window_bytes = self._settings.window_bytes
        start_request.time_left_ms = deadline.left_ms()
        link = self._links.get(host)
        exchange = Exchange(link, start_request, deadline)
        if deadline.passed():
            exchange.finish(exchange.aborted_end(Reason.DEADLINE_PASSED))
        elif self._exceeds_frame_limit(start_request):
            exchange.finish(exchange.aborted_end(Reason.BAD_REQUEST))
        elif link is None:
            exchange.finish(exchange.unreachable_end())
        else:
            await link.add(exchange)
        return exchange

    def _exceeds_frame_limit(self, start_request):
        # The agent would close the connection on such a frame, and all other requests
        # on the connection would have to be resumed.
        length_bytes = len(encode_frame(Frame(start=start_request)))
        return length_bytes > self._settings.frame_limit_bytes

    async def run(self):
        """Run the links until cancelled, with one task for each agent."""
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
        # that is added again in between would keep a link that no task serves.
        try:
            await link.run()
        finally:
            del self._tasks[link.host]
            del self._links[link.host]
