"""Who is suspected, from heartbeats and the host list."""

from siskinthread.timing import Deadline


class Heartbeats:
    """Deadlines of the next heartbeat of each owner.

    Parameters
    ----------
    settings : OwnershipSettings
        Longest silence.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("_clock", "_deadlines", "_silence_limit_s")

    def __init__(self, settings, clock):
        self._silence_limit_s = settings.silence_limit_s
        self._clock = clock
        self._deadlines = {}

    def heard(self, host):
        """Take in a sign of life."""
        self._deadlines[host] = Deadline.after(self._clock, self._silence_limit_s)

    def silent(self, host):
        """Return whether a host was silent for too long.

        One never heard of gets the whole time from the first question on: a process
        that just started must not suspect everybody.
        """
        if host not in self._deadlines:
            self.heard(host)
        return self._deadlines[host].passed()


class Liveness:
    """Whether a host is suspected; wrong answers cost claims, never safety.

    Parameters
    ----------
    membership : siskinthread.membership.MembershipView
        The host list as it is believed.
    heartbeats : Heartbeats
        Signs of life.
    """

    __slots__ = ("_heartbeats", "_membership")

    def __init__(self, membership, heartbeats):
        self._membership = membership
        self._heartbeats = heartbeats

    def suspected(self, host):
        """Return whether a host is silent, leaving, or gone from the host list."""
        agents = self._membership.agents()
        gone = bool(agents) and host not in agents
        if gone or self._membership.is_leaving(host):
            return True
        return self._heartbeats.silent(host)
