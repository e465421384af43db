"""Which part of an account's limit this entry host may grant."""


class ShareSource:
    """Base of the sources of shares."""

    __slots__ = ()

    def fraction(self, account_name):
        """Return this entry host's part of the account's limit, from 0 to 1."""
        raise NotImplementedError

    def listen(self, callback):
        """Call `callback(account_name)` around changes of a part that go unasked.

        The buckets then settle at the part that held so far.  The base class keeps no
        listeners, for sources whose parts change on both sides alike.
        """

    def note_demand(self, account_name, granted):
        """Take in that a request of an account came, and whether it was granted."""


class StaticShares(ShareSource):
    """The same part for every entry host.

    Parameters
    ----------
    membership : siskinthread.membership.MembershipView
        Its ``entry_host_count`` includes hosts that vanished lately, so that a
        partition or a short list can't raise the sum of the parts.
    """

    __slots__ = ("_membership",)

    def __init__(self, membership):
        self._membership = membership

    def fraction(self, account_name):
        """Return one over the number of entry hosts; 1.0 while none is known."""
        return 1.0 / max(1, self._membership.entry_host_count())
