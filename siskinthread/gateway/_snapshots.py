"""Fetching data from peers while the sources do not answer this process."""

import curio

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway._dependency import Dependency
from siskinthread.observability import part_logger

_logger = part_logger("gateway")


class Snapshot:
    """Configuration and targets of a peer.

    Parameters
    ----------
    table : RouteTable or None
        The peer's route table.
    entries : list of TargetEntry
        The peer's targets.
    kept_left_s : dict of str to float
        Listed ids of targets that the peer keeps after they vanished around an outage,
        with the remaining times, seconds.
    listing : siskinthread.peer_news.ListStatement or None
        Position that the peer has read the list up to, and age of that read; None if
        the peer has not read the list itself.
    evacuations : siskinthread.peer_news.EvacuationStatement or None
        Failure domains that the peer considers evacuated.
    """

    __slots__ = ("entries", "evacuations", "kept_left_s", "listing", "table")

    def __init__(self, table, entries, kept_left_s, listing=None, evacuations=None):
        self.table = table
        self.evacuations = evacuations
        self.kept_left_s = kept_left_s
        self.listing = listing
        self.entries = entries


class SnapshotFollower:
    """Applies snapshots of peers while the sources do not answer this process.

    Parameters
    ----------
    fetch : callable
        ``async fetch(address)`` returns the `Snapshot` of a peer; raises
        `PlatformUnavailableError`.
    peers : siskinthread.peer_news.PeerGossip
        States which peers are informed, that is, answered by the sources.
    view : TableView
        Where tables come into force.
    targets : TargetList
        Known targets.
    table_follower : TableFollower
        Is made to read again if a peer has a newer table.
    target_follower : TargetFollower
        Applies the targets, and knows whether its source answers.
    settings : GatewaySettings
        Intervals.
    clock : siskinthread.timing.Clock
        Clock for ages.

    Attributes
    ----------
    dependency : Dependency
        When a snapshot was last applied or confirmed.
    evacuations : Evacuations or None
        Receives the evacuated failure domains.

    Notes
    -----
    The sources may refuse some processes and serve others.  Without snapshots, a
    refused process would send requests to targets that have left, accept revoked API
    keys, or refuse all requests after a start.
    """

    __slots__ = (
        "_awaited_version",
        "_behind_version",
        "_fetch",
        "_peers",
        "_settings",
        "_table_follower",
        "_last_announced",
        "_target_follower",
        "_targets",
        "_view",
        "dependency",
        "evacuations",
    )

    def __init__(
        self,
        fetch,
        peers,
        view,
        targets,
        table_follower,
        target_follower,
        settings,
        clock,
    ):
        self._fetch = fetch
        self._peers = peers
        self._view = view
        self._targets = targets
        self._table_follower = table_follower
        self._target_follower = target_follower
        self._settings = settings
        # Table version and list digest that the peer of the last snapshot had announced
        # before the snapshot was fetched.
        self._last_announced = None
        # Newest version of a peer at the last check, while this host relies on readers.
        self._awaited_version = 0
        # Version of a peer that last made this host read the source again.
        self._behind_version = 0
        self.dependency = Dependency("news of peers", clock)
        self.evacuations = None

    async def run(self):
        """Check peers at intervals until cancelled."""
        while True:
            await curio.sleep(self._settings.snapshot_interval_s)
            if self._is_cut_off():
                await self._fetch_snapshot()
                continue
            self._last_announced = None
            if self._is_behind():
                await self._catch_up()

    def _is_cut_off(self):
        if self._target_follower.dependency.age_s() is None:
            return True
        return (
            self._target_follower.dependency.is_lost
            or self._table_follower.dependency.is_lost
        )

    def _is_behind(self):
        table = self._view.table
        known = 0 if table is None else table.version
        return self._peers.newest_version() > known

    async def _catch_up(self):
        """Get the newer configuration of a peer although the source answers.

        First the source is read again.  If it still lacks the version, it may have been
        restored to an older state; the version that it acknowledged earlier stays in
        force, also for a process that has just started.
        """
        newest = self._peers.newest_version()
        if self._is_update_pending(newest):
            return
        informed = self._peers.informed_peers()
        if self._behind_version != newest or not informed:
            self._behind_version = newest
            await self._table_follower.read_again()
        else:
            await self._fetch_from(informed[0], is_informed=True, with_targets=False)

    def _is_update_pending(self, newest):
        """Return whether a reader is about to serve the newer configuration.

        A host that relies on readers is briefly behind after each change.  The readers
        have missed a change only if this host has not reached the version that was the
        newest at the previous check.
        """
        if not self._table_follower.may_skip_reads():
            return False
        table = self._view.table
        known = 0 if table is None else table.version
        if self._awaited_version > known:
            return False
        self._awaited_version = newest
        return True

    async def _fetch_snapshot(self):
        informed = self._peers.informed_peers()
        if informed:
            await self._fetch_unless_known(informed[0])
        elif self._lacks_data():
            # No host reaches the sources.  The data that a peer still uses are better
            # than refusing all requests until the sources are back.
            for address in self._peers.serving_peers()[:1]:
                await self._fetch_from(address, is_informed=False)

    async def _fetch_unless_known(self, address):
        """Apply the snapshot of an informed peer, unless it contains nothing new.

        Otherwise, if the store refuses 35 of 99 entries, each of them fetches half a
        megabyte (1,680 routes, 197 targets) every 0.4 s, 42 MB/s in all (calculated),
        over links of 20 to 40 Mbit/s.
        """
        state = self._peers.state_of(address)
        announced = None
        if state is not None and state.listing is not None:
            announced = (state.table_version, state.listing.digest)
        if (
            announced is not None
            and announced == self._last_announced
            and not self._lacks_data()
        ):
            self.dependency.answered()
            self._targets.note_confirmed(state.listing.age_s)
            return
        if await self._fetch_from(address, is_informed=True):
            self._last_announced = announced

    def _lacks_data(self):
        return self._view.table is None or not self._targets.entries()

    async def _fetch_from(self, address, is_informed, with_targets=True):
        """Fetch a peer's snapshot; return whether it arrived and was not rejected."""
        try:
            snapshot = await self._fetch(address)
        except PlatformUnavailableError as error:
            self.dependency.failed(error)
            return False
        if is_informed:
            self.dependency.answered()
        if self.evacuations is not None:
            # Applied before the table, which may make this process ready.
            self.evacuations.hear(snapshot.evacuations, str(address))
        if snapshot.table is not None and self._view.advance(snapshot.table):
            _logger.event(
                "configuration in force",
                version=snapshot.table.version,
                told_by=str(address),
            )
        if with_targets:
            return self._target_follower.apply_snapshot(snapshot, is_informed, address)
        return True
