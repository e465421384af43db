"""Which targets have announced that they leave."""

from collections import OrderedDict

from siskinthread.peer_news import LeavingStatement

# Targets that are remembered: all of a fleet of 600 that is replaced within minutes.
REMEMBERED_LIMIT = 1024


class Departures:
    """Targets that have announced that they leave, listed or not.

    Parameters
    ----------
    settings : GatewaySettings
        For how long peers are told.
    clock : siskinthread.timing.Clock
        Clock of the ages.

    Notes
    -----
    They are kept beside the list, since a late report, an older copy of the list or a
    peer that has not heard of it must not bring a leaving target back.
    """

    __slots__ = ("_clock", "_leaving", "_announced_at_s", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        # Instance ids, the latest last.
        self._leaving = OrderedDict()
        # When an answer of a target said that it leaves, monotonic seconds.
        self._announced_at_s = {}

    def __contains__(self, instance_id):
        return instance_id in self._leaving

    def __len__(self):
        return len(self._leaving)

    def add(self, instance_id):
        """Note that a target leaves."""
        self._leaving[instance_id] = None
        while len(self._leaving) > REMEMBERED_LIMIT:
            self._leaving.popitem(last=False)

    def note_announced(self, instance_id):
        """Note that an answer of a target says so, which peers are told."""
        if instance_id not in self._announced_at_s:
            self._announced_at_s[instance_id] = self._clock.monotonic_s()

    def take_new(self, statements):
        """Take each `LeavingStatement` of a peer; return the ids of those that are new.

        One that is told late is left out, or entries would tell one another for ever.
        """
        now_s = self._clock.monotonic_s()
        new = [
            one
            for one in statements
            if one.age_s < self._settings.leaving_told_s
            and one.instance_id not in self._announced_at_s
        ]
        for one in new:
            self._announced_at_s[one.instance_id] = now_s - one.age_s
        return [one.instance_id for one in new]

    def statements(self):
        """Return what peers should be told, a bounded number of `LeavingStatement`."""
        now_s = self._clock.monotonic_s()
        oldest_s = now_s - self._settings.leaving_told_s
        for instance_id, at_s in list(self._announced_at_s.items()):
            if at_s <= oldest_s:
                del self._announced_at_s[instance_id]
        newest = sorted(self._announced_at_s.items(), key=lambda said: -said[1])
        return [
            LeavingStatement(instance_id, now_s - at_s)
            for instance_id, at_s in newest[: self._settings.leaving_told_limit]
        ]
