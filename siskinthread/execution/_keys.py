"""Whether this agent's ledger vouches for an idempotency key.

The ledger is in memory.  It proves that a key did not run only if every earlier run of
it would have been here and would not have been forgotten.  docs/design/at-most-once.md
gives the arithmetic.
"""

from siskinthread.configuration import HOMES_SETTLE_S
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.routing import home_of

MILLISECONDS_PER_SECOND = 1000
KEYED_ID_PREFIX = "key/"


class KeyRules:
    """Checks of a key that the ledger does not know.

    Parameters
    ----------
    host : str
        Name of this host.
    settings : ExecutionSettings
        Clock error and settling time.
    view : ConfigurationView
        The configuration in force here.
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

    def objection(self, start):
        """Return the `End` that forbids to run a keyed request here, or None.

        Parameters
        ----------
        start : StartRequest
            A request whose key the ledger does not know.
        """
        now_ms = self._clock.unix_ms()
        return (
            self._issue_objection(start, now_ms)
            or self._state_objection(start, now_ms)
            or self._home_objection(start)
            or self._lifetime_objection(start, now_ms)
            or self._start_objection(start, now_ms)
            or self._cut_off_objection(start)
        )

    def _issue_objection(self, start, now_ms):
        if start.issued_at_ms is None:
            return refused(Reason.BAD_REQUEST, "The key's time of issue is missing.")
        if self._earliest_ms(start) > now_ms:
            # Every run of a key thus comes after its stated issue less this limit,
            # whatever the caller's clock shows.  Without this, a key dated
            # ahead would seem younger than a replacement that came after its run.
            return refused(Reason.BAD_REQUEST, "The key's issue lies in the future.")
        return None

    def _state_objection(self, start, now_ms):
        state = self._view.state
        if state is not None and start.service_name in state.services:
            return None
        # A replacement that has no configuration yet can't vouch for a key that its
        # predecessor may have run.
        objection = self._start_objection(start, now_ms)
        if objection is not None:
            return objection
        if state is None:
            return refused(Reason.NOT_READY, "No configuration is known yet.")
        return refused(Reason.NO_SUCH_SERVICE, "The service is unknown here.")

    def _home_objection(self, start):
        state = self._view.state
        version, hosts = state.homes_at(start.service_name, start.issued_at_ms)
        if start.homes_version != version:
            return refused(Reason.WRONG_HOME, "The homes' versions differ.")
        if home_of(hosts, start.idempotency_key) != self._host:
            return refused(Reason.WRONG_HOME, "Another host is the key's home.")
        return None

    def _lifetime_objection(self, start, now_ms):
        service = self._view.state.services[start.service_name]
        lifetime_ms = service.lifetime_limit_s * MILLISECONDS_PER_SECOND
        if now_ms <= start.issued_at_ms + lifetime_ms + self._error_ms():
            return None
        # Its record may be forgotten by now.
        return unknown(Reason.ANSWER_GONE, "The key is past its lifetime.")

    def _start_objection(self, start, now_ms):
        # An earlier home let it run no sooner than this by its own clock, from which
        # this host's may differ.
        if self._earliest_ms(start) - self._error_ms() > self._started_ms(now_ms):
            return None
        return unknown(
            Reason.ISSUED_BEFORE_START, "The key may be older than this process."
        )

    def _cut_off_objection(self, start):
        # Homes that changed while this host was cut off from the log for longer than
        # the settling time would make it and the new home both take the key.  Refusing
        # costs every keyed request in a long outage of the log, so operators choose.
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
        """Return the soonest time at which any home lets the key run."""
        return start.issued_at_ms - self._error_ms()

    def _error_ms(self):
        return self._settings.clock_error_limit_s * MILLISECONDS_PER_SECOND

    def _started_ms(self, now_ms):
        # A host whose clock was set forward after the start of the process (a fresh
        # machine before its first time synchronisation) would date its start too
        # early and vouch for keys that its predecessor ran.
        age_s = self._clock.monotonic_s() - self._started_monotonic_s
        return max(self._started_unix_ms, now_ms - age_s * MILLISECONDS_PER_SECOND)


def refused(reason, message, retry_after_s=None):
    """Return the end of a request that does not run."""
    return End(Outcome.REFUSED_NOT_RUN, reason, message, retry_after_s=retry_after_s)


def unknown(reason, message):
    """Return the end of a request of which nobody can tell whether it ran."""
    return End(Outcome.UNKNOWN, reason, message)
