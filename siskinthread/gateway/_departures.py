"""Targets that have announced that they leave."""

from collections import OrderedDict

from siskinthread.peer_news import LeavingStatement

# Number of targets that are remembered; enough for a fleet of 600 that is completely
# replaced within minutes.
REMEMBERED_LIMIT = 1024


class Departures:
    """Targets that have announced that they leave, listed or not.

    Parameters
    ----------
    settings : GatewaySettings
        How long departures are announced to peers.
    clock : siskinthread.timing.Clock
        Clock for ages.

    Notes
    -----
    Departures are stored separately from the target list, since a late report, an older
    copy of the list or an uninformed peer must not reinstate a leaving target.
    """

    __slots__ = ("_clock", "_leaving", "_announced_at_s", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        # Instance ids, the most recent last.
        self._leaving = OrderedDict()
        # When an answer of a target announced its departure, monotonic seconds.
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
        """Note an announcement in an answer of a target, to be sent to peers."""
        if instance_id not in self._announced_at_s:
            self._announced_at_s[instance_id] = self._clock.monotonic_s()

    def take_new(self, statements):
        """Note each `LeavingStatement` of a peer; return the ids of new ones.

        Old statements are ignored, or entries would repeat them to one another for
        ever.
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
        """Return a bounded list of `LeavingStatement` to send to peers."""
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
