"""Rate limit for the release of waiting requests."""

from collections import deque


class ReleasePace:
    """Releases waiting requests only as fast as free slots can take those of all hosts.

    Parameters
    ----------
    settings : GatewaySettings
        Load at which requests are refused.
    loads : TargetLoads
        Requests at targets, and the interval between messages of peers.
    clock : siskinthread.timing.Clock
        Clock for release times.

    Notes
    -----
    When a group opens, requests are waiting at all entry hosts, and the requests that
    peers have released since their last messages are unknown.  Each host assumes that
    every peer releases as many as it does itself.  Without this, all hosts would send
    all waiting requests to the same free slots.
    """

    __slots__ = ("_clock", "_loads", "_released_s", "_settings")

    def __init__(self, settings, loads, clock):
        self._settings = settings
        self._loads = loads
        self._clock = clock
        self._released_s = deque()

    def note(self):
        """Note the release of a request."""
        self._released_s.append(self._clock.monotonic_s())

    def allows(self, entries):
        """Return whether one more request may be released.

        Parameters
        ----------
        entries : list of TargetEntry
            The targets of the request's service.
        """
        peers = self._loads.peers
        if peers is None:
            return True
        oldest_s = self._clock.monotonic_s() - peers.send_interval_s()
        while self._released_s and self._released_s[0] < oldest_s:
            self._released_s.popleft()
        if not self._released_s:
            return True
        full_load = self._settings.full_load
        free_count = sum(
            max(
                0.0, entry.slot_count * full_load - self._loads.total(entry.instance_id)
            )
            for entry in entries
        )
        unseen_count = len(self._released_s) * peers.full_rate_peer_count()
        return free_count - unseen_count >= 1
