"""Upper estimate of the number of entry hosts, used to divide limits."""

from siskinthread.timing import Deadline


class EntryHostCount:
    """Count of the present entry hosts and of those that vanished recently.

    Parameters
    ----------
    settings : MembershipSettings
        ``entry_memory_s``.
    clock : siskinthread.timing.Clock
        Clock of the deadlines.

    Notes
    -----
    Each entry host admits its share of an account's limit.  During a partition, an
    entry host sees few others; if it divided the limit by that number, the shares
    would add up to more than the limit, and the only visible sign would be targets
    overloaded by one account.  A host that vanished therefore counts until
    ``entry_memory_s`` has passed.  A replaced host counts twice for that time, which
    makes the sum of the shares too small rather than too large.
    """

    __slots__ = ("_clock", "_present", "_settings", "_vanished")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._present = frozenset()
        self._vanished = {}

    def note(self, hosts):
        """Record the names of the entry hosts that are present now."""
        deadline = Deadline.after(self._clock, self._settings.entry_memory_s)
        self._vanished.update(dict.fromkeys(self._present.difference(hosts), deadline))
        self._present = frozenset(hosts)
        for host in self._present.intersection(self._vanished):
            del self._vanished[host]

    def count(self):
        """Return the number of present and recently vanished entry hosts.

        Present hosts count for as long as an outage of the host list lasts.
        """
        passed = [host for host, end in self._vanished.items() if end.passed()]
        for host in passed:
            del self._vanished[host]
        return len(self._present) + len(self._vanished)
