"""Failure detection of owners from heartbeats and the host list."""

from siskinthread.timing import Deadline


class Heartbeats:
    """Deadlines for the next heartbeat of each owner.

    Parameters
    ----------
    settings : OwnershipSettings
        ``silence_limit_s``, the longest time between two heartbeats.
    clock : Clock
        Clock for the deadlines.
    """

    __slots__ = ("_clock", "_deadlines", "_silence_limit_s")

    def __init__(self, settings, clock):
        self._silence_limit_s = settings.silence_limit_s
        self._clock = clock
        self._deadlines = {}

    def note_heartbeat(self, host):
        """Record a heartbeat of a host."""
        self._deadlines[host] = Deadline.after(self._clock, self._silence_limit_s)

    def is_silent(self, host):
        """Return whether no heartbeat of a host came within ``silence_limit_s``.

        For a host without any heartbeat so far, the time starts at the first call, so
        that a process that just started does not suspect every host.
        """
        if host not in self._deadlines:
            self.note_heartbeat(host)
        return self._deadlines[host].passed()


class Liveness:
    """Failure detector for owners.

    Parameters
    ----------
    membership : siskinthread.membership.MembershipView
        The known agents, and which hosts are leaving.
    heartbeats : Heartbeats
        Heartbeats of the owners.

    Notes
    -----
    A false suspicion costs a needless claim, never safety.
    """

    __slots__ = ("_heartbeats", "_membership")

    def __init__(self, membership, heartbeats):
        self._membership = membership
        self._heartbeats = heartbeats

    def is_suspected(self, host):
        """Return whether a host is silent, leaving, or missing from the host list.

        An empty set of agents counts as unknown and makes no host suspected.
        """
        agents = self._membership.agents()
        gone = bool(agents) and host not in agents
        if gone or self._membership.is_leaving(host):
            return True
        return self._heartbeats.is_silent(host)
