"""Shares of the groups, assigned by the platform's store."""

from siskinthread.group_maps import Shares

TOPIC = "group-shares"
# Each failure domain assigns the shares among its own members.
MEMBER_GROUP = "controllers."


class StoreShares:
    """Membership whose partitions the store assigns.

    Parameters
    ----------
    store : StoreClient
        The store.
    member, failure_domain : str
        Name and failure domain of this process.
    share_count : int
        Partitions of a topic.
    lapse_s : float
        Time without a renewal after which the partitions pass to others, seconds.
    """

    __slots__ = (
        "_era",
        "_generation",
        "_group",
        "_lapse_s",
        "_member",
        "_share_count",
        "_store",
    )

    def __init__(self, store, member, failure_domain, share_count, lapse_s):
        self._group = MEMBER_GROUP + failure_domain
        self._store = store
        self._member = member
        self._share_count = share_count
        self._lapse_s = lapse_s
        self._era = None
        self._generation = 0

    async def renew(self):
        """Return the `Shares` that are held from now on for the lapse time.

        Raises
        ------
        PlatformUnavailableError
            If no readable answer came in time.
        """
        if self._store.eras.is_over(self._era):
            # A restore resets the generations. With a generation that the store has not
            # reached yet, the member would seem to know of changes that are still to
            # come.
            self._generation = 0
        joined = await self._store.join(
            self._group, self._member, TOPIC, self._lapse_s, self._generation
        )
        self._era = joined.era
        self._generation = joined.generation
        return Shares(set(joined.partitions), self._share_count)

    async def leave(self):
        """Give up all shares, so that they pass to others at once.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time; the shares pass on when they lapse.
        """
        self._generation = 0
        await self._store.leave(self._group, self._member)
