"""How many entry hosts there may be, for the division of limits."""

from siskinthread.timing import Deadline


class DeclaredEntries:
    """The largest number of entry hosts seen within a time.

    Parameters
    ----------
    settings : MembershipSettings
        ``entry_memory_s``.
    clock : siskinthread.timing.Clock
        Clock of the deadlines.

    Notes
    -----
    Each entry host grants its part of an account's limit.  If an entry host that can't
    see the others divided by the few it sees, the parts would add up to more than the
    limit, noticeable only as targets overloaded by one account.  A host that vanished
    therefore counts until its deadline has passed.  A replaced host counts twice for
    that time, which errs on the side of a smaller sum.
    """

    __slots__ = ("_clock", "_deadlines", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._deadlines = {}

    def note(self, hosts):
        """Take in the names of the entry hosts that are known now."""
        deadline = Deadline.after(self._clock, self._settings.entry_memory_s)
        for host in hosts:
            self._deadlines[host] = deadline

    def count(self):
        """Return the number of entry hosts that count."""
        for host in [host for host, end in self._deadlines.items() if end.passed()]:
            del self._deadlines[host]
        return len(self._deadlines)
