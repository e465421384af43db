"""Which targets are ranks of which groups."""

from siskinthread.errors import TargetError
from siskinthread.observability import part_logger

_logger = part_logger("group_maps")


class RankPlace:
    """Where a target stands in its group.

    Parameters
    ----------
    group_name : str
        Name of the group.
    rank, size : int
        Its number, and the number of ranks.
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
        Takes a target entry and returns its rank's client.
    settings : GroupMapSettings
        Waits.
    """

    __slots__ = ("_build_client", "_clients", "_places", "_settings")

    def __init__(self, build_client, settings):
        self._build_client = build_client
        self._settings = settings
        self._places = {}
        self._clients = {}

    async def refresh(self, entries):
        """Ask targets that are new for their place, and drop those that are gone.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            All model engines that are listed.

        Returns
        -------
        bool
            Whether there are any, and the place of each is known.
        """
        known = {entry.instance_id for entry in entries}
        for instance_id in set(self._clients) - known:
            del self._clients[instance_id]
            self._places.pop(instance_id, None)
        for entry in entries:
            if entry.instance_id not in self._places:
                await self._ask(entry)
        return bool(entries) and len(self._places) == len(known)

    async def _ask(self, entry):
        client = self._clients.get(entry.instance_id)
        if client is None:
            client = self._clients[entry.instance_id] = self._build_client(entry)
        try:
            report = await client.report(self._settings.order_wait_s)
        except TargetError as error:
            _logger.event(
                "rank is not known", target=entry.instance_id, reason=str(error)
            )
            return
        self._places[entry.instance_id] = RankPlace(
            report.group_name, report.rank, report.size
        )

    def group_of(self, instance_id):
        """Return the name of a target's group, or None."""
        place = self._places.get(instance_id)
        return None if place is None else place.group_name

    def complete_groups(self):
        """Return the clients of each group whose ranks are all known.

        Returns
        -------
        dict of str to dict of str to object
            By group, the clients by instance id in the order of their ranks.
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
            complete[group_name] = {one: self._clients[one] for one in ids}
        return complete
