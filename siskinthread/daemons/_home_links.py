"""Links to homes of idempotency keys that lie outside of an entry's subset."""

from collections import OrderedDict


class HomeLinks:
    """The homes that were wanted last.

    Parameters
    ----------
    limit : int
        Most homes; the one that was wanted longest ago gives way.

    Notes
    -----
    A key has one home among all targets, while an entry keeps links to a subset of
    them.  Without links of their own, requests with keys would get through at few
    entries only; one would notice ``no_target`` for the same key at most entries.
    """

    __slots__ = ("_homes", "_limit")

    def __init__(self, limit):
        self._limit = limit
        self._homes = OrderedDict()

    def want(self, host):
        """Note that a home is wanted now.

        Returns
        -------
        bool
            Whether it was not among the known ones.
        """
        is_new = host not in self._homes
        self._homes[host] = True
        self._homes.move_to_end(host)
        if len(self._homes) > self._limit:
            self._homes.popitem(last=False)
        return is_new

    def known_among(self, hosts):
        """Return those of the known homes that are in `hosts`."""
        return [host for host in self._homes if host in hosts]
