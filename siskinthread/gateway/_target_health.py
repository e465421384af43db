"""Which targets are passed over because requests to them failed."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class _Failures:
    """Failures of one target without a success between them."""

    __slots__ = ("count", "first_at_s", "ejected_until")

    def __init__(self, first_at_s):
        self.count = 0
        self.first_at_s = first_at_s
        self.ejected_until = None


class TargetHealth:
    """Passes over targets that fail, each time for longer.

    Parameters
    ----------
    settings : GatewaySettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Notes
    -----
    A target can fail its requests while its own health answer is good, and the list of
    targets tells of a crash only after seconds.  Without this, requests would go on
    being sent to it: it looks idle, because it fails fast.
    """

    __slots__ = ("_clock", "_failures", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._failures = {}

    def succeeded(self, instance_id):
        """Note a whole answer."""
        failures = self._failures.pop(instance_id, None)
        if failures is not None:
            _logger.event(
                "target trusted again", target=instance_id, after=failures.count
            )

    def failed(self, instance_id, reason):
        """Note a request that failed because of the target."""
        now_s = self._clock.monotonic_s()
        failures = self._failures.setdefault(instance_id, _Failures(now_s))
        if failures.ejected_until is not None and not failures.ejected_until.passed():
            # Requests that were under way when it failed say nothing new.
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

    def is_passed_over(self, instance_id):
        """Return whether a target should get no request now."""
        failures = self._failures.get(instance_id)
        return failures is not None and not failures.ejected_until.passed()

    def forget_since(self, instance_id, since_s):
        """Trust a target again all of whose failures are of a time that is over.

        Parameters
        ----------
        instance_id : str
            The target.
        since_s : float
            When that time began, monotonic seconds.
        """
        failures = self._failures.get(instance_id)
        if failures is not None and failures.first_at_s >= since_s:
            self.succeeded(instance_id)

    def forget(self, instance_id):
        """Drop what is known of a target that is gone."""
        self._failures.pop(instance_id, None)
