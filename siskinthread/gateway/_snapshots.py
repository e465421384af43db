"""Taking over what peers know while the sources turn this process away."""

import curio

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway._dependency import Dependency
from siskinthread.observability import part_logger

_logger = part_logger("gateway")


class Snapshot:
    """Configuration and targets as a peer knows them.

    Parameters
    ----------
    table : RouteTable or None
        The peer's routes.
    entries : list of TargetEntry
        The peer's targets.
    kept_left_s : dict of str to float
        Listed ids of those that the peer only keeps for a while, since they vanished
        around an outage, and for how long, seconds.
    listing : siskinthread.peer_news.ListStatement or None
        Up to where the peer has read the list, and the age of that reading; None if it
        knows the list by hearsay.
    evacuations : siskinthread.peer_news.EvacuationStatement or None
        Failure domains that the peer knows to be evacuated.
    """

    __slots__ = ("entries", "evacuations", "kept_left_s", "listing", "table")

    def __init__(self, table, entries, kept_left_s, listing=None, evacuations=None):
        self.table = table
        self.evacuations = evacuations
        self.kept_left_s = kept_left_s
        self.listing = listing
        self.entries = entries


class SnapshotFollower:
    """Takes over what peers know while the sources turn this process away.

    Parameters
    ----------
    fetch : callable
        ``async fetch(address)`` returns the `Snapshot` of a peer; raises
        `PlatformUnavailableError`.
    peers : siskinthread.peer_news.PeerNews
        Tells which peers are informed.
    view : TableView
        Where tables come into force.
    targets : TargetList
        Tells whether any target is known.
    table_follower : TableFollower
        Told to read again if a peer has a newer table.
    target_follower : TargetFollower
        Takes the targets, and tells whether its source answers.
    settings : GatewaySettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the ages.

    Attributes
    ----------
    dependency : Dependency
        When a snapshot was last taken.
    evacuations : Evacuations or None
        Told which failure domains are evacuated.

    Notes
    -----
    The sources may refuse some processes and serve others.  One would notice a process
    that sends requests to targets which left seconds ago, lets revoked keys pass, or,
    just started, refuses everything.
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
        # What the peer of the last snapshot had told of before it was taken.
        self._last_announced = None
        # The newest version of a peer at the last look, while this host is spared.
        self._awaited_version = 0
        # Version of a peer for which the source was last asked again.
        self._behind_version = 0
        self.dependency = Dependency("news of peers", clock)
        self.evacuations = None

    async def run(self):
        """Follow for ever."""
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
        """Get the configuration that a peer has and this process has not.

        The source has not told this process yet, but it does answer.  If it has been
        asked again, it may have come back older than it was: what it acknowledged is
        still in force, also for a process that has only just started.
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
        """Return whether a reader is about to hand the configuration over.

        A host that is spared its own reads is behind for a moment after each change.
        Only if it has not reached by the next look what was the newest at this one,
        the readers have missed it.
        """
        if not self._table_follower.is_spared():
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
            # The sources are away for everybody.  What others still serve by is better
            # than refusing everything until they are back.
            for address in self._peers.serving_peers()[:1]:
                await self._fetch_from(address, is_informed=False)

    async def _fetch_unless_known(self, address):
        """Take the snapshot of an informed peer, unless it would tell nothing new.

        Symptom without this: 35 of 99 entries that the store turns away each ask a peer
        for half a megabyte (1,680 routes, 197 targets) every 0.4 s, 42 MB a second in
        all (reckoned), over links of 20 to 40 Mbit/s.
        """
        state = self._peers.state_of(address)
        told = None
        if state is not None and state.listing is not None:
            told = (state.table_version, state.listing.digest)
        if told is not None and told == self._last_announced and not self._lacks_data():
            self.dependency.answered()
            self._targets.note_confirmed(state.listing.age_s)
            return
        if await self._fetch_from(address, is_informed=True):
            self._last_announced = told

    def _lacks_data(self):
        return self._view.table is None or not self._targets.entries()

    async def _fetch_from(self, address, is_informed, with_targets=True):
        """Take a peer's snapshot; return whether it came and was of use."""
        try:
            snapshot = await self._fetch(address)
        except PlatformUnavailableError as error:
            self.dependency.failed(error)
            return False
        if is_informed:
            self.dependency.answered()
        if self.evacuations is not None:
            # Before the table, which may make this process ready.
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
