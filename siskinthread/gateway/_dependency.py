"""Availability of the services that this process depends on."""

from siskinthread.observability import part_logger

_logger = part_logger("gateway")


class Dependency:
    """Availability of a service that this process depends on.

    Parameters
    ----------
    name : str
        Name of the service, for the log.
    clock : siskinthread.timing.Clock
        Clock for ages.

    Attributes
    ----------
    is_lost : bool
        Whether the last call failed.
    failure_count : int
        Number of failed calls since the last answer.
    """

    __slots__ = (
        "_answered_at_s",
        "_clock",
        "_lost_at_s",
        "failure_count",
        "is_lost",
        "name",
    )

    def __init__(self, name, clock):
        self.name = name
        self._clock = clock
        self._answered_at_s = None
        self._lost_at_s = None
        self.is_lost = False
        self.failure_count = 0

    def answered(self):
        """Note an answer to a call of this process."""
        now_s = self._clock.monotonic_s()
        self._answered_at_s = now_s
        self.failure_count = 0
        if self.is_lost:
            self.is_lost = False
            _logger.event(
                "dependency regained",
                dependency=self.name,
                after_s=round(now_s - self._lost_at_s, 3),
            )

    def confirmed(self, age_s):
        """Note that a peer got an answer `age_s` seconds ago, unless own calls fail."""
        answered_at_s = self._clock.monotonic_s() - age_s
        if not self.is_lost and answered_at_s > (self._answered_at_s or 0.0):
            self._answered_at_s = answered_at_s

    def failed(self, error):
        """Note a failed call."""
        self.failure_count += 1
        if not self.is_lost:
            self.is_lost = True
            self._lost_at_s = self._clock.monotonic_s()
            _logger.event("dependency lost", dependency=self.name, reason=str(error))

    def age_s(self):
        """Return the time since the last answer, seconds; None if there was none."""
        if self._answered_at_s is None:
            return None
        return self._clock.monotonic_s() - self._answered_at_s

    def retry_wait_s(self, settings, is_first):
        """Return the back-off after a failed call, seconds.

        Parameters
        ----------
        settings : GatewaySettings
            First and longest back-off.
        is_first : bool
            Whether this entry is the first of its failure domain, which retries at a
            constant interval to notice the recovery of the service soon; it notifies
            the others, which back off exponentially.  If all did the same, 15 entries
            made 60 billed calls per second in an outage.
        """
        if is_first:
            return settings.source_retry_s
        doublings = max(0, self.failure_count - 1)
        return min(
            settings.source_retry_limit_s, settings.source_retry_s * 2**doublings
        )
