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

    __slots__ = ("_clock", "_present", "_settings", "_vanished")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._present = frozenset()
        self._vanished = {}

    def note(self, hosts):
        """Take in the names of the entry hosts that are known now."""
        deadline = Deadline.after(self._clock, self._settings.entry_memory_s)
        self._vanished.update(dict.fromkeys(self._present.difference(hosts), deadline))
        self._present = frozenset(hosts)
        for host in self._present.intersection(self._vanished):
            del self._vanished[host]

    def count(self):
        """Return the number of entry hosts that count.

        Those that are present count however long the list has been down.
        """
        passed = [host for host, end in self._vanished.items() if end.passed()]
        for host in passed:
            del self._vanished[host]
        return len(self._present) + len(self._vanished)
