"""Targets that get a request only if no other target can serve it."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class _Declines:
    """Consecutive declines of one target."""

    __slots__ = ("avoided_until", "count")

    def __init__(self):
        self.count = 0
        self.avoided_until = None


class AvoidedTargets:
    """Targets that have recently declined requests, or asked a peer to back off.

    Parameters
    ----------
    settings : GatewaySettings
        Durations.
    clock : siskinthread.timing.Clock
        Clock for deadlines.

    Notes
    -----
    A target that declines its requests appears idle, and would be preferred to targets
    that serve theirs.  It does not state for how long it will decline, so the time for
    which it is avoided grows exponentially.
    """

    __slots__ = ("_clock", "_declines", "_settings", "_peer_backoffs")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._declines = {}
        # Deadlines of the back-offs that targets have requested of peers.
        self._peer_backoffs = {}

    def declined(self, instance_id):
        """Note that a target has declined a request."""
        declines = self._declines.setdefault(instance_id, _Declines())
        if declines.avoided_until is not None and not declines.avoided_until.passed():
            # Declines of requests that were already in flight give no new evidence.
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
        """Process each `BackoffStatement` of a peer."""
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

    def exclude_avoided(self, entries):
        """Return the targets in `entries` that are not avoided."""
        if not self._declines and not self._peer_backoffs:
            return entries
        return [one for one in entries if not self._is_avoided(one.instance_id)]

    def forget(self, instance_id):
        """Forget the declines of a target that gets no more requests."""
        self._declines.pop(instance_id, None)

    def drop_over(self):
        """Forget back-offs that are over, and old declines."""
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
        until = self._peer_backoffs.get(instance_id)
        return until is not None and not until.passed()
