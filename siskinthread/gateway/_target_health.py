"""Ejection of targets to which requests have failed."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class _Failures:
    """Consecutive failures of one target."""

    __slots__ = ("count", "first_at_s", "ejected_until")

    def __init__(self, first_at_s):
        self.count = 0
        self.first_at_s = first_at_s
        self.ejected_until = None


class TargetHealth:
    """Ejects failing targets, with exponential back-off.

    Parameters
    ----------
    settings : GatewaySettings
        Durations of ejections.
    clock : siskinthread.timing.Clock
        Clock for deadlines.

    Notes
    -----
    A target can fail its requests while its health check succeeds, and the target list
    reflects a crash only after seconds.  Without ejection, requests would continue to
    be sent to such a target: it appears idle, because it fails fast.
    """

    __slots__ = ("_clock", "_failures", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._failures = {}

    def succeeded(self, instance_id):
        """Note a complete answer."""
        failures = self._failures.pop(instance_id, None)
        if failures is not None:
            _logger.event(
                "target no longer ejected", target=instance_id, after=failures.count
            )

    def failed(self, instance_id, reason):
        """Note a request that failed because of the target."""
        now_s = self._clock.monotonic_s()
        failures = self._failures.setdefault(instance_id, _Failures(now_s))
        if failures.ejected_until is not None and not failures.ejected_until.passed():
            # Failures of requests that were already in flight give no new evidence.
            return
        failures.count += 1
        settings = self._settings
        wait_s = min(
            settings.ejection_s * 2 ** (failures.count - 1), settings.ejection_limit_s
        )
        failures.ejected_until = Deadline.after(self._clock, wait_s)
        _logger.event(
            "target passed over",
            target=instance_id,
            reason=reason,
            failures=failures.count,
            wait_s=wait_s,
        )

    def is_ejected(self, instance_id):
        """Return whether a target is ejected at present."""
        failures = self._failures.get(instance_id)
        return failures is not None and not failures.ejected_until.passed()

    def forget_since(self, instance_id, since_s):
        """End the ejection of a target whose failures are all of a period.

        Parameters
        ----------
        instance_id : str
            The target.
        since_s : float
            Start of the period, monotonic seconds; it lasts until now.
        """
        failures = self._failures.get(instance_id)
        if failures is not None and failures.first_at_s >= since_s:
            self.succeeded(instance_id)

    def forget(self, instance_id):
        """Forget the failures of a target."""
        self._failures.pop(instance_id, None)
