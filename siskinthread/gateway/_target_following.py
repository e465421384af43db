"""Following the list of targets.

Each read of the list is a call to a service that all hosts share, and carries the
reports of all targets.  So one host of each failure domain, its reader, reads the list,
and announces the position and the digest of its reads.  A host with the same digest has
the same list.  With a different digest, a host fetches the list from the reader, or
reads the source if the reader does not serve it.  A host also reads the source when its
list was not confirmed for ``target_age_limit_s``, so that the age of its list is
bounded independently of other hosts.

One of the readers of all failure domains reads first and notifies the others at once.
They fetch a changed list from it, forward its announcement in their failure domains,
and read the source if the announcement fails to arrive.
"""

import curio

from siskinthread.errors import (
    PlatformUnavailableError,
    PositionExpiredError,
    SourceRestoredError,
)
from siskinthread.gateway._dependency import Dependency
from siskinthread.gateway._list_digest import ListDigest
from siskinthread.observability import part_logger
from siskinthread.peer_news import ListStatement
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class TargetFollower:
    """Keeps the target list up to date.

    Parameters
    ----------
    source : object
        ``async read_all()`` returns the list of `TargetEntry` and a position; ``async
        read_changes(position)`` the list of `TargetChange` and the next position.
        Both raise the same errors as the source of a `TableFollower`.
        ``take_told(told)`` applies a `ServedTargets` as if it had been read, and
        removes late reports from it.
        ``listed`` maps listed ids to the entries at the last position.
    targets : TargetList
        List that is kept up to date.
    settings : GatewaySettings
        Intervals and time-outs.
    clock : siskinthread.timing.Clock
        Clock for ages.
    eras : siskinthread.source_eras.EraWatch
        Receives the eras that peers state; positions of an earlier era are ignored.
    when_regained : callable
        Coroutine function that is called when the source answers again.

    Attributes
    ----------
    dependency : Dependency
        Whether the source answers.
    peers : siskinthread.peer_news.PeerGossip or None
        Determines whether this host is the reader of its failure domain, and sends its
        announcements there.
    far_peers : siskinthread.peer_news.PeerGossip or None
        The same for readers of other failure domains; None if each failure domain
        reads for itself.
    fetch_served : callable or None
        ``async fetch_served(address)`` returns the `ServedTargets` of a reader; raises
        `PlatformUnavailableError`.  If None, this host reads announced changes from
        the source.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at_s",
        "_digest",
        "_eras",
        "_furthest",
        "_woken",
        "_is_restored",
        "_next_read",
        "_due_by_own_read",
        "_position",
        "_settings",
        "_source",
        "_targets",
        "_took_snapshot",
        "_wanted_statement",
        "_wanted_sender",
        "_when_regained",
        "dependency",
        "far_peers",
        "fetch_served",
        "peers",
    )

    def __init__(self, source, targets, settings, clock, eras, when_regained):
        self._eras = eras
        eras.listen(self._era_began)
        self._when_regained = when_regained
        self._source = source
        self._targets = targets
        self._settings = settings
        self._clock = clock
        self._position = None
        # The furthest position of a list that this host has applied.
        self._furthest = None
        # Whether a peer's snapshot was applied since the last own read.
        self._took_snapshot = False
        # Whether the source was restored to an older state since the last read.
        self._is_restored = False
        self._digest = ListDigest()
        # Start of the read that this host announces, its own or a forwarded one,
        # monotonic seconds.
        self._confirmed_at_s = None
        self._next_read = Deadline.after(clock, 0.0)
        # The value of _next_read that the last own read has set, to tell whether
        # anything else has set it since.
        self._due_by_own_read = None
        self._woken = curio.Event()
        self.dependency = Dependency("target list", clock)
        # Statement of a peer that is ahead of this host, if its list is to be fetched.
        self._wanted_statement = None
        # The reader of another failure domain that sent the statement, if any.
        self._wanted_sender = None
        self.peers = None
        self.far_peers = None
        self.fetch_served = None

    async def run(self):
        """Follow the source until cancelled."""
        while True:
            await self._wait_until_due()
            if await self._fetch_from_reader():
                continue
            began_at_s = self._clock.monotonic_s()
            try:
                await self._read()
            except PlatformUnavailableError as error:
                self.dependency.failed(error)
                self._targets.note_failed_call(began_at_s)
                is_first = self.peers is None or self.peers.is_first_of_domain()
                wait_s = self.dependency.retry_wait_s(self._settings, is_first)
                await curio.sleep(wait_s)
                continue
            except PositionExpiredError as error:
                _logger.event("target list is read anew", reason=str(error))
                self._is_restored |= isinstance(error, SourceRestoredError)
                self._position = None
                continue
            if self.dependency.is_lost:
                await self._when_regained()
            self.dependency.answered()
            self._targets.expire_kept()
            await self._note_read(began_at_s)

    def statement(self):
        """Return the `ListStatement` that this host announces or forwards, or None."""
        if self._confirmed_at_s is None or self._position is None:
            return None
        age_s = self._clock.monotonic_s() - self._confirmed_at_s
        return ListStatement(self._position, self._digest.value, age_s)

    async def hear_far(self, statement, sender=None):
        """Process and forward the announcement of a reader of another failure domain.

        Parameters
        ----------
        statement : siskinthread.peer_news.ListStatement
            Position, digest and age of the reader's read.
        sender : siskinthread.settings.Address or None
            Address of the reader, from which a changed list may be fetched.
        """
        if not await self.hear(statement):
            if self._wanted_statement is statement:
                self._wanted_sender = sender
            return
        confirmed_at_s = self._clock.monotonic_s() - statement.age_s
        if confirmed_at_s > (self._confirmed_at_s or 0.0):
            await self._forward(confirmed_at_s)

    async def hear(self, statement):
        """Process the announcement of a peer.

        Parameters
        ----------
        statement : siskinthread.peer_news.ListStatement
            Position, digest and age of the peer's read.

        Returns
        -------
        bool
            Whether the statement confirms this host's list.

        Notes
        -----
        A read that is due is made regardless of announcements: a process that was
        stopped for seconds finds datagrams in its socket whose ages are no longer
        right.
        """
        await self._eras.note(statement.position.era, told_by="peer")
        if self._position is None or self._next_read.passed():
            return False
        if statement.position.is_of_earlier_era(self._position):
            # The peer has not noticed yet that the source was restored.
            return False
        if statement.digest == self._digest.value:
            if self._position.is_behind(statement.position):
                self._position = self._furthest = statement.position
            self._targets.note_confirmed(statement.age_s)
            left_s = self._age_limit_s() - statement.age_s
            if left_s > self._next_read.left_s():
                self._next_read = Deadline.after(self._clock, left_s)
            return True
        if self._position.is_behind(statement.position):
            self._wanted_statement, self._wanted_sender = statement, None
            self._next_read = Deadline.after(self._clock, 0.0)
            await self._woken.set()
        return False

    def apply_snapshot(self, snapshot, is_informed, sender):
        """Apply a peer's targets while the source does not answer this host.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot of the peer.
        is_informed : bool
            Whether the source answers the peer.
        sender : siskinthread.settings.Address
            Address of the peer.

        Returns
        -------
        bool
            False if the list was rejected as older than this host's; it would reinstate
            targets that have left.
        """
        if self.dependency.age_s() is not None and not self.dependency.is_lost:
            return True
        listing = snapshot.listing
        if not is_informed and self._targets.entries():
            return True
        if is_informed and not self._is_new(listing):
            _logger.event("peer's target list is older", peer=str(sender))
            return False
        kept_left_s = snapshot.kept_left_s
        entries = self._targets.without_gone(snapshot.entries, kept_left_s)
        told_by = f"snapshot of {sender}"
        self._targets.replace(entries, is_informed, told_by, kept_left_s)
        self._took_snapshot = True
        if listing is not None:
            self._furthest = listing.position
            self._targets.note_confirmed(listing.age_s)
        return True

    def _is_new(self, listing):
        """Return whether a peer's `ListStatement` is not behind this host's list."""
        if listing is None:
            return self._furthest is None
        if self._eras.is_over(listing.position.era):
            return False
        furthest = self._furthest
        return furthest is None or not listing.position.is_behind(furthest)

    async def _fetch_from_reader(self):
        """Fetch an announced list from its reader; return whether it was applied."""
        wanted, self._wanted_statement = self._wanted_statement, None
        far_address, self._wanted_sender = self._wanted_sender, None
        if wanted is None or self.fetch_served is None or self.peers is None:
            return False
        if len(self._targets.entries()) > self._settings.told_targets_limit:
            return False
        address = self.peers.reader_address() or far_address
        if address is None or self.dependency.is_lost:
            return False
        asked_at_s = self._clock.monotonic_s()
        served = await self._ask_reader(address, wanted)
        if served is None:
            return False
        # Assumes that the reader stated the age when the request was sent.
        age_s = served.age_s + self._clock.monotonic_s() - asked_at_s
        left_s = self._age_limit_s() - age_s
        if left_s <= 0:
            return False
        entry_count = len(served.entries)
        self._apply_served(served, age_s, address)
        if len(served.entries) < entry_count:
            # A report that was left out may be old only in the list of the reader.
            return False
        self._next_read = Deadline.after(self._clock, left_s)
        await self._forward(self._clock.monotonic_s() - age_s)
        return True

    async def _ask_reader(self, address, wanted):
        """Return the `ServedTargets` of a reader, None if unavailable or too old."""
        try:
            served = await self.fetch_served(address)
        except PlatformUnavailableError as error:
            _logger.event(
                "target list is read from the source, as no reader serves it",
                reader=str(address),
                reason=str(error),
            )
            return None
        if self._is_as_new(served, wanted):
            return served
        _logger.event("reader hands out an older list", reader=str(address))
        return None

    def _apply_served(self, served, age_s, sender):
        self._position = self._furthest = served.position
        self._source.take_told(served)
        self._digest.replace(served.entries)
        self._targets.replace(served.entries, told_by=f"reader {sender}")
        self._targets.note_confirmed(age_s)

    async def _forward(self, confirmed_at_s):
        """Announce another host's read in the own failure domain, if its reader."""
        if self._reads_for_others():
            self._confirmed_at_s = confirmed_at_s
            await self.peers.send_to_domain()

    def _is_as_new(self, served, wanted):
        """Return whether a `ServedTargets` is behind neither this host nor `wanted`."""
        position = self._position
        return (
            position is not None
            and served.position.era == position.era
            and self._eras.is_comparable(position.era)
            and not served.position.is_behind(position)
            and not served.position.is_behind(wanted.position)
        )

    async def _era_began(self):
        """Schedule a read in a new era of the source.

        Hosts that are not readers wait, as an announcement may confirm their list.
        """
        wait_s = 0.0
        if self.peers is not None and not self.peers.is_reader():
            wait_s = self._settings.reread_spread_s
        if wait_s < self._next_read.left_s():
            self._next_read = Deadline.after(self._clock, wait_s)
            await self._woken.set()

    async def _wait_until_due(self):
        while not self._next_read.passed() or self._postpone_own_read():
            self._woken.clear()
            await curio.ignore_after(self._next_read.left_s(), self._woken.wait)

    def _postpone_own_read(self):
        """Postpone a due read if this host has since learnt of another reader.

        While a fleet starts, each host considers itself the reader until it receives
        messages of others.  The age of the list still stays below
        `target_age_limit_s`.
        """
        if self._next_read is not self._due_by_own_read:
            return False
        self._due_by_own_read = None
        read_s_ago = self._clock.monotonic_s() - self._confirmed_at_s
        left_s = self._age_limit_s() - read_s_ago
        if left_s <= 0:
            return False
        self._next_read = Deadline.after(self._clock, left_s)
        return True

    async def _note_read(self, began_at_s):
        self._confirmed_at_s = began_at_s
        spent_s = self._clock.monotonic_s() - began_at_s
        self._targets.note_confirmed(spent_s)
        left_s = max(0.0, self._age_limit_s() - spent_s)
        self._next_read = self._due_by_own_read = Deadline.after(self._clock, left_s)
        if self._reads_for_others():
            await self.peers.send_to_domain()
            if self.far_peers is not None:
                await self.far_peers.send_listing(self.statement())

    def _age_limit_s(self):
        settings = self._settings
        if self.peers is not None and not self._reads_for_others():
            return settings.target_age_limit_s
        if self.far_peers is None or self.far_peers.is_first_reader():
            return settings.target_interval_s
        # The mean of both limits: if the announcement of the first reader fails to
        # arrive, the reader of each failure domain reads before the other hosts.
        return (settings.target_interval_s + settings.target_age_limit_s) / 2

    def _reads_for_others(self):
        return self.peers is not None and self.peers.is_reader()

    async def _read(self):
        if self._position is None:
            entries, self._position = await self._source.read_all()
            self._note_end_of_outage()
            self._note_own_reading()
            self._digest.replace(entries)
            if self._is_restored:
                self._is_restored = False
                self._targets.replace_by_older(entries)
            else:
                self._targets.replace(entries)
            return
        changes, self._position = await self._source.read_changes(self._position)
        self._note_end_of_outage()
        for change in changes:
            if change.entry is None:
                self._digest.remove(change.listed_id)
                self._targets.note_unlisted(change.listed_id)
            else:
                self._digest.put(change.entry)
                self._targets.put(change.entry)
        if self._note_own_reading():
            self._targets.reconcile(self._source.listed.values())

    def _note_own_reading(self):
        """Note an own read; return whether it is the first after a peer's snapshot."""
        if self._furthest is not None and self._position.is_behind(self._furthest):
            # A peer's list was applied that is newer than this read.
            return False
        self._furthest = self._position
        is_first, self._took_snapshot = self._took_snapshot, False
        return is_first

    def _note_end_of_outage(self):
        """Start the grace period for entries that expired in an outage."""
        if self.dependency.is_lost:
            self._targets.note_outage_end()


class TargetChange:
    """A change of the target list.

    Parameters
    ----------
    listed_id : str
        Id of the list entry.
    entry : TargetEntry or None
        The new entry; None if the target is no longer listed.
    """

    __slots__ = ("entry", "listed_id")

    def __init__(self, listed_id, entry):
        self.listed_id = listed_id
        self.entry = entry
