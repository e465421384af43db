"""Which targets are passed over because requests to them failed."""

from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class _Failures:
    """Failures of one target without a success between them."""

    __slots__ = ("count", "passed_over")

    def __init__(self):
        self.count = 0
        self.passed_over = None


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

    __slots__ = ("_clock", "_failures", "_groups", "_settings")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._failures = {}
        self._groups = {}

    def succeeded(self, instance_id):
        """Note a whole answer."""
        failures = self._failures.pop(instance_id, None)
        if failures is not None:
            _logger.event(
                "target trusted again", target=instance_id, after=failures.count
            )

    def failed(self, instance_id, reason):
        """Note a request that failed because of the target."""
        failures = self._failures.setdefault(instance_id, _Failures())
        if failures.passed_over is not None and not failures.passed_over.passed():
            # Requests that were under way when it failed say nothing new.
            return
        failures.count += 1
        settings = self._settings
        wait_s = min(
            settings.ejection_s * 2 ** (failures.count - 1), settings.ejection_limit_s
        )
        failures.passed_over = Deadline.after(self._clock, wait_s)
        _logger.event(
            "target passed over",
            target=instance_id,
            reason=reason,
            failures=failures.count,
            wait_s=wait_s,
        )

    def group_failed(self, group):
        """Note that the ranks of a group decline because one of them failed.

        Their group forms anew only when that rank is back; until then each of them
        declines, and every request sent there would have used up an attempt.
        """
        if group is None or self.is_group_passed_over(group):
            return
        wait_s = self._settings.group_ejection_s
        self._groups[group] = Deadline.after(self._clock, wait_s)
        _logger.event("group passed over", group=group, wait_s=wait_s)

    def is_group_passed_over(self, group):
        """Return whether the ranks of a group should get no request now."""
        passed_over = self._groups.get(group)
        return passed_over is not None and not passed_over.passed()

    def is_passed_over(self, instance_id):
        """Return whether a target should get no request now."""
        failures = self._failures.get(instance_id)
        return failures is not None and not failures.passed_over.passed()

    def forget(self, instance_id):
        """Drop what is known of a target that is gone."""
        self._failures.pop(instance_id, None)
