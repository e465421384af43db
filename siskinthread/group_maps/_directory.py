"""Directory of the targets that are ranks of groups."""

import curio

from siskinthread.errors import TargetError
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("group_maps")

# Number of ranks that are queried concurrently. Sequential queries to 39 ranks that
# were cut off took 4 s, and delayed the others.
CONCURRENT_QUERIES = 16


class RankPlace:
    """Position of a target in its group.

    Parameters
    ----------
    group_name : str
        Name of the group.
    rank, size : int
        Number of the rank, and number of ranks of the group.
    """

    __slots__ = ("group_name", "rank", "size")

    def __init__(self, group_name, rank, size):
        self.group_name = group_name
        self.rank = rank
        self.size = size


class GroupDirectory:
    """Knows the place of each target that is a rank of a group.

    Parameters
    ----------
    build_client : callable
        Takes a target entry and returns the client of its rank.
    settings : GroupMapSettings
        Timeouts and retention times.
    clock : siskinthread.timing.Clock
        Clock for the waits.

    Notes
    -----
    A rank whose entry has lapsed is remembered for a while.  Its group re-forms with
    the first map as soon as the rank is back, but the entry is listed again only up to
    3 s later.  Without the memory, nobody would control the group meanwhile, while its
    passes take three times as long.
    """

    __slots__ = (
        "_addresses",
        "_build_client",
        "_clients",
        "_clock",
        "_domains",
        "_lost",
        "_places",
        "_settings",
    )

    def __init__(self, build_client, settings, clock):
        self._build_client = build_client
        self._settings = settings
        self._clock = clock
        self._addresses = {}
        self._domains = {}
        # Deadlines until which ranks that are no longer listed are remembered.
        self._lost = {}
        self._places = {}
        self._clients = {}

    async def refresh(self, entries, may_query=True):
        """Query new targets for their place, and drop targets that are gone.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            All listed model engines.
        may_query : bool
            Whether to query targets now; a peer may know their places.

        Returns
        -------
        bool
            Whether there are entries and the place of each is known.
        """
        known = {entry.instance_id for entry in entries}
        self._note_lost(known)
        self._forget_replaced(entries)
        new = self.unknown(entries) if may_query else []
        for start in range(0, len(new), CONCURRENT_QUERIES):
            queried = new[start : start + CONCURRENT_QUERIES]
            tasks = [
                await curio.spawn(self._query, entry, daemon=True) for entry in queried
            ]
            for task in tasks:
                await task.join()
        return bool(entries) and known <= set(self._places)

    def unknown(self, entries):
        """Return the entries whose place is not known."""
        return [entry for entry in entries if entry.instance_id not in self._places]

    def places(self):
        """Return the `RankPlace` of each known rank, by instance id."""
        return dict(self._places)

    def learn(self, entries, places):
        """Add the places of some entries that a peer knows.

        Without this, each of 99 entries would query each of 192 ranks after its start:
        19,000 queries that are charged for.
        """
        for entry in entries:
            if entry.instance_id in places:
                self._note_client(entry)
                self._put(entry.instance_id, places[entry.instance_id])

    def _note_lost(self, known):
        for instance_id in known & set(self._lost):
            del self._lost[instance_id]
        for instance_id in set(self._clients) - known:
            if instance_id not in self._lost:
                wait_s = self._settings.lost_rank_memory_s
                self._lost[instance_id] = Deadline.after(self._clock, wait_s)
            if instance_id not in self._places or self._lost[instance_id].passed():
                self._forget(instance_id)

    def _forget_replaced(self, entries):
        """Forget lost ranks whose address now belongs to another instance."""
        holders = {(entry.host, entry.port): entry.instance_id for entry in entries}
        for instance_id in list(self._lost):
            holder = holders.get(self._addresses.get(instance_id), instance_id)
            if holder != instance_id:
                self._forget(instance_id)

    def _forget(self, instance_id):
        self._addresses.pop(instance_id, None)
        self._domains.pop(instance_id, None)
        self._clients.pop(instance_id, None)
        self._places.pop(instance_id, None)
        self._lost.pop(instance_id, None)

    async def _query(self, entry):
        client = self._note_client(entry)
        try:
            report = await client.report(self._settings.order_wait_s)
        except TargetError as error:
            _logger.event(
                "place of rank is unknown", target=entry.instance_id, reason=str(error)
            )
            return
        place = RankPlace(report.group_name, report.rank, report.size)
        self._put(entry.instance_id, place)

    def _note_client(self, entry):
        """Return the client of an entry's rank, building it on first use."""
        client = self._clients.get(entry.instance_id)
        if client is None:
            client = self._clients[entry.instance_id] = self._build_client(entry)
            self._addresses[entry.instance_id] = (entry.host, entry.port)
            self._domains[entry.instance_id] = entry.failure_domain
        return client

    def _put(self, instance_id, place):
        """Record a place, and forget a lost rank that had the same place."""
        for lost_id in list(self._lost):
            other = self._places[lost_id]
            if (other.group_name, other.rank) == (place.group_name, place.rank):
                self._forget(lost_id)
        self._places[instance_id] = place

    def group_of(self, instance_id):
        """Return the name of a target's group, or None."""
        place = self._places.get(instance_id)
        return None if place is None else place.group_name

    def domains_of(self, instance_ids):
        """Return the failure domain of each given target."""
        return [self._domains[instance_id] for instance_id in instance_ids]

    def has_ranks(self):
        """Return whether any target is known to be a rank."""
        return bool(self._places)

    def clients_of(self, group_name):
        """Return the clients of the known ranks of a group, by instance id."""
        return {
            instance_id: self._clients[instance_id]
            for instance_id, place in self._places.items()
            if place.group_name == group_name
        }

    def complete_groups(self):
        """Return the clients of each group whose ranks are all known.

        Returns
        -------
        dict of str to dict of str to object
            By group name, the clients by instance id, in rank order.
        """
        by_group = {}
        for instance_id, place in self._places.items():
            by_group.setdefault(place.group_name, {})[place.rank] = (instance_id, place)
        complete = {}
        for group_name, by_rank in by_group.items():
            size = next(iter(by_rank.values()))[1].size
            if sorted(by_rank) != list(range(size)):
                continue
            ids = [by_rank[rank][0] for rank in range(size)]
            complete[group_name] = {
                instance_id: self._clients[instance_id] for instance_id in ids
            }
        return complete
