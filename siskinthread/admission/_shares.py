"""Sources of this entry host's share of an account's limit."""


class ShareSource:
    """Base class of the sources of shares."""

    __slots__ = ()

    def fraction(self, account_name):
        """Return this entry host's share of the account's limit, from 0 to 1."""
        raise NotImplementedError

    def listen(self, callback):
        """Call `callback(account_name)` when a share is lent or borrowed.

        The buckets then refill the time until now at no more than the share that held
        so far.  The base class registers no callback, for sources whose shares change
        on all entry hosts alike.
        """

    def note_demand(self, account_name, admitted):
        """Record a request of an account, and whether it was admitted."""


class StaticShares(ShareSource):
    """Equal shares for all entry hosts.

    Parameters
    ----------
    membership : siskinthread.membership.MembershipView
        Its ``entry_host_count`` includes recently vanished hosts, so that a partition
        or a truncated host list can't raise the sum of the shares above 1.
    """

    __slots__ = ("_membership",)

    def __init__(self, membership):
        self._membership = membership

    def fraction(self, account_name):
        """Return the inverse of the number of entry hosts; 1.0 if none is known."""
        return 1.0 / max(1, self._membership.entry_host_count())
