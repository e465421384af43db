"""Targets whose entries have expired around an outage of the source of the list.

While the source is unavailable, entries expire although their targets still run.  The
list that it returns afterwards may be empty; if it were applied, requests would be
refused for want of a target until all targets have reported again.  So entries that
vanish at that time are kept until a deadline; the last evidence that their targets run
remains that from before the outage.
"""

from siskinthread.timing import Deadline

# Ratio between the extension of the deadline of a target that was kept before an outage
# began, and the length of the outage.  A long outage restores the whole grace period; a
# single failed call does not.
OUTAGE_CREDIT = 2


class _Kept:
    """Deadline of a kept target, and whether outages of the source extend it."""

    __slots__ = ("is_prolonged", "until")

    def __init__(self, until, is_prolonged):
        self.until = until
        self.is_prolonged = is_prolonged


class KeptTargets:
    """Targets that are kept for a grace period after they vanished from the list.

    Parameters
    ----------
    settings : GatewaySettings
        Grace period and its limits.
    clock : siskinthread.timing.Clock
        Clock for deadlines.
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
        # When the present outage was noticed, monotonic seconds; None if there is none.
        self._lost_at_s = None
        # When the last failed call began; the source may have recovered since then.
        self._failed_call_at_s = None
        self._kept = {}

    def __contains__(self, instance_id):
        return instance_id in self._kept

    def ids(self):
        """Return the instance ids of all kept targets."""
        return list(self._kept)

    def note_failed_call(self, began_at_s):
        """Note a call that the source did not answer."""
        if self._lost_at_s is None:
            self._lost_at_s = self._clock.monotonic_s()
        self._failed_call_at_s = began_at_s

    def note_outage_end(self):
        """Note the end of an outage of the source, or of the contents of its list."""
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
        """Return whether a target that vanishes now is to be kept."""
        return self._lost_at_s is not None or not self._grace.passed()

    def keep(self, instance_id):
        """Keep a target that has vanished from the list."""
        until = self._grace
        if self._lost_at_s is not None:
            until = Deadline.after(self._clock, self._settings.lapse_grace_s)
        self._kept[instance_id] = _Kept(until, is_prolonged=True)

    def keep_as_stated(self, instance_id, left_s):
        """Keep a target for at most the remaining time that a peer has stated."""
        until = Deadline.after(self._clock, min(left_s, self._settings.lapse_grace_s))
        own = self._kept.get(instance_id)
        if own is not None and own.until.at_s < until.at_s:
            until = own.until
        self._kept[instance_id] = _Kept(until, is_prolonged=False)

    def discard(self, instance_id):
        """Stop keeping a target that is listed again, or gone."""
        self._kept.pop(instance_id, None)

    def left_s(self, instance_id):
        """Return the remaining time for which a target is kept, seconds."""
        return self._kept[instance_id].until.left_s()

    def expired(self):
        """Return the ids of kept targets whose deadline has passed."""
        return [
            instance_id
            for instance_id, kept in self._kept.items()
            if kept.until.passed()
            and not (kept.is_prolonged and self._lost_at_s is not None)
        ]

    def _grace_s(self, now_s):
        """Return the grace period for entries that vanish from now on, seconds.

        The source may have recovered as early as the last failed call began.
        """
        settings = self._settings
        if self._failed_call_at_s is None:
            return settings.lapse_grace_s
        left_s = self._failed_call_at_s + settings.lapse_limit_s - now_s
        return min(settings.lapse_grace_s, max(settings.lapse_least_s, left_s))
