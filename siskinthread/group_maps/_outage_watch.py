"""Polls broken groups, so that they are used again as soon as they open."""

import collections

import curio

from siskinthread.errors import TargetError
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("group_maps")


class _Watch:
    """Polling state of one broken group.

    Parameters
    ----------
    client_ids : list of str
        Instance ids of its ranks, in the order in which they are polled.
    clock : siskinthread.timing.Clock
        Clock for the waits.
    fast_limit_s : float
        How long the group is polled at the short interval, seconds.
    """

    __slots__ = (
        "_responsive",
        "_unresponsive",
        "fast_limit",
        "is_polling",
        "next_poll",
    )

    def __init__(self, client_ids, clock, fast_limit_s):
        self._responsive = collections.deque(client_ids)
        # Ranks that did not respond; polled again once no other rank is left.
        self._unresponsive = collections.deque()
        self.fast_limit = Deadline.after(clock, fast_limit_s)
        self.next_poll = Deadline.after(clock, 0.0)
        self.is_polling = False

    def next_id(self, known):
        """Return the next rank to poll, in rotation; None if no rank is known."""
        for _ in range(len(self._responsive) + len(self._unresponsive)):
            if not self._responsive:
                self._responsive, self._unresponsive = (
                    self._unresponsive,
                    self._responsive,
                )
            client_id = self._responsive.popleft()
            if client_id in known:
                return client_id
        return None

    def note(self, client_id, has_answered):
        """Record whether a rank has responded."""
        (self._responsive if has_answered else self._unresponsive).append(client_id)


class OutageWatch:
    """Polls the ranks of broken groups until the groups are open.

    Parameters
    ----------
    directory : GroupDirectory
        Ranks of the groups.
    controlled : callable
        Returns the names of the groups that this process controls.
    home : object
        ``refresh_outages()`` updates which groups are broken,
        ``groups_to_watch(groups)`` returns the broken groups that this process should
        poll, given the groups that it controls, ``evacuated_domains()`` returns the
        failure domains whose targets must get no requests, and ``async tell_outages()``
        sends changes to peers.
    settings : GroupMapSettings
        Intervals of polls.
    clock : siskinthread.timing.Clock
        Clock for the waits.
    random : random.Random
        Shuffles the ranks, so that several processes poll different ranks.

    Notes
    -----
    The clients pass each report on to the owner of the groups' state.  Without these
    reports, each host by itself tried a group again only 0.8 s after the last decline.
    """

    __slots__ = (
        "_clock",
        "_controlled",
        "_directory",
        "_home",
        "_random",
        "_settings",
        "_watches",
    )

    def __init__(self, directory, controlled, home, settings, clock, random):
        self._directory = directory
        self._controlled = controlled
        self._home = home
        self._settings = settings
        self._clock = clock
        self._random = random
        self._watches = {}

    async def run(self):
        """Poll broken groups until cancelled."""
        while True:
            # Deployments without groups have nothing to poll.
            if self._directory.has_ranks():
                await self._poll_due()
            await curio.sleep(self._settings.outage_look_interval_s)

    async def _poll_due(self):
        self._home.refresh_outages()
        broken = self._home.groups_to_watch(self._controlled())
        broken = [group for group in broken if not self._is_evacuated(group)]
        for group in set(self._watches) - set(broken):
            del self._watches[group]
        for group in broken:
            await self._poll_if_due(group)
        await self._home.tell_outages()

    def _is_evacuated(self, group):
        """Return whether all ranks of a group are in evacuated failure domains."""
        clients = self._directory.clients_of(group)
        domains = set(self._directory.domains_of(clients))
        return bool(domains) and domains <= self._home.evacuated_domains()

    async def _poll_if_due(self, group):
        clients = self._directory.clients_of(group)
        watch = self._watches.get(group)
        if watch is None:
            watch = self._watches[group] = self._begin(clients)
        if watch.is_polling or not watch.next_poll.passed():
            return
        settings = self._settings
        wait_s = settings.outage_watch_interval_s
        if watch.fast_limit.passed():
            wait_s = settings.outage_slow_watch_interval_s
        watch.next_poll = Deadline.after(self._clock, wait_s)
        client_id = watch.next_id(clients)
        if client_id is None:
            # The ranks are unknown, or have changed since the watch began.
            del self._watches[group]
            return
        watch.is_polling = True
        await curio.spawn(self._poll, group, watch, client_id, clients, daemon=True)

    def _begin(self, clients):
        client_ids = list(clients)
        self._random.shuffle(client_ids)
        fast_limit_s = self._settings.outage_fast_watch_s
        return _Watch(client_ids, self._clock, fast_limit_s)

    async def _poll(self, group, watch, client_id, clients):
        try:
            await clients[client_id].report(self._settings.order_wait_s)
        except TargetError as error:
            _logger.event(
                "rank of a broken group does not report",
                group=group,
                target=client_id,
                reason=str(error),
            )
            watch.note(client_id, False)
        else:
            watch.note(client_id, True)
            await self._home.tell_outages()
        finally:
            watch.is_polling = False
