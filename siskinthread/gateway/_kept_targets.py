"""Targets that have vanished from the list around an outage of its source.

While the source is away, entries lapse although the targets live.  Taken at its word
on its return it would empty every service at once; one would notice refusals for want
of a target until the targets have reported again.  So entries that vanish then are kept
until a deadline, and the evidence behind them stays that of before the outage.
"""

from siskinthread.timing import Deadline

# By how many times its length an outage prolongs the time of a target that was kept
# before it began.  Long ones restore the whole time; single failed calls don't.
OUTAGE_CREDIT = 2


class _Kept:
    """Until when a target is kept, and whether outages of the source prolong that."""

    __slots__ = ("is_prolonged", "until")

    def __init__(self, until, is_prolonged):
        self.until = until
        self.is_prolonged = is_prolonged


class KeptTargets:
    """Targets that are kept for a while after they vanished.

    Parameters
    ----------
    settings : GatewaySettings
        For how long.
    clock : siskinthread.timing.Clock
        Clock of the deadlines.
    """

    __slots__ = (
        "_clock",
        "_failed_call_at_s",
        "_grace",
        "_kept",
        "_lost_at_s",
        "_settings",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._grace = Deadline.after(clock, 0.0)
        # When the outage was noticed, monotonic seconds; None while there is none.
        self._lost_at_s = None
        # When the last call of it began; the source may have been back from then on.
        self._failed_call_at_s = None
        self._kept = {}

    def __contains__(self, instance_id):
        return instance_id in self._kept

    def ids(self):
        """Return the ids of all that are kept."""
        return list(self._kept)

    def note_failed_call(self, began_at_s):
        """Note that the source has not answered a call."""
        if self._lost_at_s is None:
            self._lost_at_s = self._clock.monotonic_s()
        self._failed_call_at_s = began_at_s

    def note_outage_end(self):
        """Note an outage that ends at this moment, also of what the source lists."""
        now_s = self._clock.monotonic_s()
        self._grace = Deadline(self._clock, now_s + self._grace_s(now_s))
        if self._lost_at_s is not None:
            credit_s = OUTAGE_CREDIT * (now_s - self._lost_at_s)
            for kept in self._kept.values():
                if kept.is_prolonged:
                    at_s = min(self._grace.at_s, kept.until.at_s + credit_s)
                    kept.until = Deadline(self._clock, at_s)
        self._lost_at_s = self._failed_call_at_s = None

    def covers(self):
        """Return whether a target that vanishes now is kept."""
        return self._lost_at_s is not None or not self._grace.passed()

    def keep(self, instance_id):
        """Keep a target that has vanished."""
        until = self._grace
        if self._lost_at_s is not None:
            until = Deadline.after(self._clock, self._settings.lapse_grace_s)
        self._kept[instance_id] = _Kept(until, is_prolonged=True)

    def keep_as_stated(self, instance_id, left_s):
        """Keep a target for no longer than a peer that the source answers does."""
        until = Deadline.after(self._clock, min(left_s, self._settings.lapse_grace_s))
        own = self._kept.get(instance_id)
        if own is not None and own.until.at_s < until.at_s:
            until = own.until
        self._kept[instance_id] = _Kept(until, is_prolonged=False)

    def discard(self, instance_id):
        """Forget a target that is listed again, or gone."""
        self._kept.pop(instance_id, None)

    def left_s(self, instance_id):
        """Return for how long a target is kept, seconds."""
        return self._kept[instance_id].until.left_s()

    def expired(self):
        """Return the ids of those that have not come back in time."""
        return [
            instance_id
            for instance_id, kept in self._kept.items()
            if kept.until.passed()
            and not (kept.is_prolonged and self._lost_at_s is not None)
        ]

    def _grace_s(self, now_s):
        """Return for how long entries that vanish from now on are kept, seconds.

        The source may have been back since the last call without an answer began.
        """
        settings = self._settings
        if self._failed_call_at_s is None:
            return settings.lapse_grace_s
        left_s = self._failed_call_at_s + settings.lapse_limit_s - now_s
        return min(settings.lapse_grace_s, max(settings.lapse_least_s, left_s))
