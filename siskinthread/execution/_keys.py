"""Checks whether the absence of an idempotency key from the ledger proves anything.

The ledger is in memory only.  A missing record proves that the key did not run only if
every earlier run of the key would have been recorded by this process and its record
would still be kept.  docs/design/at-most-once.md gives the calculation.
"""

from siskinthread.configuration import HOMES_SETTLE_S
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.routing import home_of

MILLISECONDS_PER_SECOND = 1000
KEYED_ID_PREFIX = "key/"


class KeyRules:
    """Checks of a key of which the ledger has no record.

    Parameters
    ----------
    host : str
        Name of this host.
    settings : ExecutionSettings
        Clock error, and whether unconfirmed keys are refused.
    view : ConfigurationView
        The configuration in force on this host.
    clock : Clock
        This host's clocks.
    """

    __slots__ = (
        "_clock",
        "_host",
        "_settings",
        "_started_monotonic_s",
        "_started_unix_ms",
        "_view",
    )

    def __init__(self, host, settings, view, clock):
        self._host = host
        self._settings = settings
        self._view = view
        self._clock = clock
        self._started_monotonic_s = clock.monotonic_s()
        self._started_unix_ms = clock.unix_ms()

    def rejection(self, start):
        """Return the `End` of a keyed request that must not run here, or None.

        Parameters
        ----------
        start : StartRequest
            A request of whose key the ledger has no record.
        """
        now_ms = self._clock.unix_ms()
        return (
            self._issue_time_rejection(start, now_ms)
            or self._configuration_rejection(start, now_ms)
            or self._home_rejection(start)
            or self._lifetime_rejection(start, now_ms)
            or self._start_time_rejection(start, now_ms)
            or self._unconfirmed_rejection(start)
        )

    def _issue_time_rejection(self, start, now_ms):
        if start.issued_at_ms is None:
            return refused(Reason.BAD_REQUEST, "The key's time of issue is missing.")
        if self._earliest_ms(start) > now_ms:
            # This ensures that a key never runs earlier than its stated time of issue
            # less the clock error, whatever the caller's clock shows.  Otherwise a key
            # that is dated ahead would seem younger than a process that replaced its
            # home after the run, and would run twice.
            return refused(Reason.BAD_REQUEST, "The key's issue lies in the future.")
        return None

    def _configuration_rejection(self, start, now_ms):
        state = self._view.state
        if state is not None and start.service_name in state.services:
            return None
        # A replacement process that has no configuration yet can't say "not run" of a
        # key that its predecessor may have run.
        rejection = self._start_time_rejection(start, now_ms)
        if rejection is not None:
            return rejection
        if state is None:
            return refused(Reason.NOT_READY, "No configuration is known yet.")
        return refused(Reason.NO_SUCH_SERVICE, "The service is unknown here.")

    def _home_rejection(self, start):
        state = self._view.state
        version, hosts = state.homes_at(start.service_name, start.issued_at_ms)
        if start.homes_version != version:
            return refused(Reason.WRONG_HOME, "The homes' versions differ.")
        if home_of(hosts, start.idempotency_key) != self._host:
            return refused(Reason.WRONG_HOME, "Another host is the key's home.")
        return None

    def _lifetime_rejection(self, start, now_ms):
        service = self._view.state.services[start.service_name]
        lifetime_ms = service.lifetime_limit_s * MILLISECONDS_PER_SECOND
        if now_ms <= start.issued_at_ms + lifetime_ms + self._error_ms():
            return None
        # The record of the key may have expired.
        return unknown(Reason.ANSWER_GONE, "The key is past its lifetime.")

    def _start_time_rejection(self, start, now_ms):
        # An earlier home may have run the key from `_earliest_ms` on by its own clock,
        # which differs from this host's clock by up to the clock error.
        if self._earliest_ms(start) - self._error_ms() > self._started_ms(now_ms):
            return None
        return unknown(
            Reason.ISSUED_BEFORE_START, "The key may be older than this process."
        )

    def _unconfirmed_rejection(self, start):
        # If the homes change while this host can't read the log for longer than the
        # settling time, this host and the new home both accept the key.  Refusing costs
        # every keyed request in a long outage of the log, so it is a setting.
        confirmed_ms = self._view.confirmed_at_ms
        if not self._settings.refuse_unconfirmed_keys:
            return None
        settle_ms = HOMES_SETTLE_S * MILLISECONDS_PER_SECOND
        if confirmed_ms is not None:
            last_ms = confirmed_ms + settle_ms - self._error_ms()
            if start.issued_at_ms <= last_ms:
                return None
        return refused(Reason.NOT_READY, "This host is cut off from the log.")

    def _earliest_ms(self, start):
        """Return the earliest time (Unix ms) at which any home lets the key run."""
        return start.issued_at_ms - self._error_ms()

    def _error_ms(self):
        return self._settings.clock_error_limit_s * MILLISECONDS_PER_SECOND

    def _started_ms(self, now_ms):
        # If the wall clock was set forward after the process started (on a new machine
        # before its first time synchronisation), the recorded start time is too early.
        # Relying on it would let keys that the predecessor ran seem new.
        age_s = self._clock.monotonic_s() - self._started_monotonic_s
        return max(self._started_unix_ms, now_ms - age_s * MILLISECONDS_PER_SECOND)


def refused(reason, message, retry_after_s=None):
    """Return the end of a request that does not run."""
    return End(Outcome.REFUSED_NOT_RUN, reason, message, retry_after_s=retry_after_s)


def unknown(reason, message):
    """Return the end of a request that may or may not have run."""
    return End(Outcome.UNKNOWN, reason, message)
