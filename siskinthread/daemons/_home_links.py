"""Homes of idempotency keys that an entry links to in addition to its subset."""

from collections import OrderedDict


class HomeLinks:
    """The most recently requested homes of idempotency keys.

    Parameters
    ----------
    limit : int
        Largest number of homes; the least recently requested home is evicted.

    Notes
    -----
    An idempotency key has one home among all targets, while an entry links to a subset
    of the targets.  Without additional links, only the few entries whose subset
    contains the home could forward requests with the key, and the others would refuse
    them with ``no_target``.
    """

    __slots__ = ("_homes", "_limit")

    def __init__(self, limit):
        self._limit = limit
        self._homes = OrderedDict()

    def add(self, host):
        """Record a request for a home, as the most recent one.

        Returns
        -------
        bool
            Whether the home is new.
        """
        is_new = host not in self._homes
        self._homes[host] = True
        self._homes.move_to_end(host)
        if len(self._homes) > self._limit:
            self._homes.popitem(last=False)
        return is_new

    def homes_in(self, hosts):
        """Return the homes that are in `hosts`, least recently requested first."""
        return [host for host in self._homes if host in hosts]
