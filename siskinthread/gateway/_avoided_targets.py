"""Targets that get a request only if no other one can take it."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class _Declines:
    """Declines of one target without an answer between them."""

    __slots__ = ("avoided_until", "count")

    def __init__(self):
        self.count = 0
        self.avoided_until = None


class AvoidedTargets:
    """Targets that have declined requests lately, or asked another entry to back off.

    Parameters
    ----------
    settings : GatewaySettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Notes
    -----
    A target that declines has none of the requests that it was sent, so that it looks
    idle, and is chosen before those that work.  It says nothing of how long it is going
    to decline; so it is avoided for longer each time.
    """

    __slots__ = ("_clock", "_declines", "_settings", "_peer_backoffs")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._declines = {}
        # Until when targets are backed off that have asked peers for it.
        self._peer_backoffs = {}

    def declined(self, instance_id):
        """Note that a target has declined a request."""
        declines = self._declines.setdefault(instance_id, _Declines())
        if declines.avoided_until is not None and not declines.avoided_until.passed():
            # Requests that were under way say nothing new.
            return
        declines.count += 1
        settings = self._settings
        wait_s = min(
            settings.avoided_s * 2 ** (declines.count - 1), settings.avoided_limit_s
        )
        declines.avoided_until = Deadline.after(self._clock, wait_s)
        _logger.event(
            "target avoided",
            target=instance_id,
            declines=declines.count,
            wait_s=wait_s,
        )

    def answered(self, instance_id):
        """Note that a target has answered a request."""
        self._declines.pop(instance_id, None)

    def hear(self, statements, told_by):
        """Take each `BackoffStatement` of a peer."""
        for statement in statements:
            known = self._peer_backoffs.get(statement.instance_id)
            if (
                known is None
                and len(self._peer_backoffs) >= self._settings.backoff.targets_limit
            ):
                continue
            wait_s = statement.left_s + self._settings.backoff.told_margin_s
            end = Deadline.after(self._clock, wait_s)
            if known is None or known.passed():
                _logger.event(
                    "target backed off as a peer tells",
                    target=statement.instance_id,
                    left_s=round(statement.left_s, 3),
                    told_by=told_by,
                )
            self._peer_backoffs[statement.instance_id] = end

    def without(self, entries):
        """Return those of some targets that are not avoided."""
        if not self._declines and not self._peer_backoffs:
            return entries
        return [one for one in entries if not self._is_avoided(one.instance_id)]

    def forget(self, instance_id):
        """Drop what is known of a target that gets no more requests."""
        self._declines.pop(instance_id, None)

    def drop_over(self):
        """Forget back-offs that are over, and declines of long ago."""
        for instance_id in [
            one for one, end in self._peer_backoffs.items() if end.passed()
        ]:
            del self._peer_backoffs[instance_id]
        oldest_s = self._clock.monotonic_s() - self._settings.avoided_memory_s
        for instance_id, declines in list(self._declines.items()):
            if declines.avoided_until.at_s < oldest_s:
                del self._declines[instance_id]

    def _is_avoided(self, instance_id):
        declines = self._declines.get(instance_id)
        if declines is not None and not declines.avoided_until.passed():
            return True
        told = self._peer_backoffs.get(instance_id)
        return told is not None and not told.passed()
