"""Refusals of requests that no target can take, with the delay before a retry."""

from siskinthread.gateway._target_refusal import TargetRefusal
from siskinthread.load_control import BindingCause
from siskinthread.outcomes import Reason


class ChoiceRefusals:
    """Builds the refusals that target selection returns.

    Parameters
    ----------
    parts : GatewayParts
        Settings, target list, limits, back-offs and cold targets.
    retry_delay_s : callable
        Called with a request and its `BindingCause`; returns how long its caller should
        wait before it retries, seconds.

    Attributes
    ----------
    return_times : ReturnTimes or None
        Decides when refused callers retry; with None the settings alone decide.
    """

    __slots__ = (
        "_backoffs",
        "_cold",
        "_retry_delay_s",
        "_limits",
        "_random",
        "_settings",
        "_targets",
        "return_times",
    )

    def __init__(self, parts, retry_delay_s):
        self._settings = parts.settings
        self._targets = parts.targets
        self._limits = parts.limits
        self._backoffs = parts.backoffs
        self._cold = parts.cold
        self._random = parts.random
        self._retry_delay_s = retry_delay_s
        self.return_times = None

    def retry_delay_s(self, request, cause, is_outage):
        """Return how long a refused caller should wait before it retries, seconds.

        Parameters
        ----------
        request : GatewayRequest
            The refused request.
        cause : siskinthread.load_control.BindingCause
            Why no target can take the request.
        is_outage : bool
            Whether the service has no healthy target.

        Notes
        -----
        The delay has random jitter, so that callers refused together do not retry
        together.  It is at most a third of the caller's remaining time; with a longer
        delay the caller would not retry.
        """
        default_s = longest_delay_s = self._longest_delay_s(request)
        if not is_outage:
            spread = 0.6 + 0.8 * self._random.random()
            default_s = min(self._settings.retry_after_s * spread, longest_delay_s)
        if self.return_times is None:
            return default_s
        return self.return_times.retry_delay_s(request, cause, default_s)

    def for_no_target(self, request):
        """Return the refusal of a request whose service has no untried target."""
        message = "No target can take it."
        if self._targets.is_evacuated(request.service_name):
            message = "All of its targets are in evacuated failure domains."
        return self.for_cause(BindingCause.NO_TARGET, request, message)

    def for_limits(self, request, limited):
        """Return the refusal of a request that the rate limits of all targets block."""
        described = self._limits.describe(limited[0].instance_id)
        return TargetRefusal(
            BindingCause.LIMITED,
            Reason.OVERLOADED,
            f"All {len(limited)} targets that could take it are limited: {described}.",
            lambda: self._limits.come_back_after_s(
                request.service_name, self._longest_delay_s(request)
            ),
        )

    def for_cold(self, request, cold):
        """Return the refusal of a request for which only cold targets are left."""
        longest_delay_s = self._longest_delay_s(request)
        return TargetRefusal(
            BindingCause.COLD,
            Reason.OVERLOADED,
            f"All {len(cold)} targets that could take it are cold: "
            f"{self._cold.describe(cold[0])}.",
            lambda: self._cold.come_back_after_s(cold, longest_delay_s),
        )

    def for_backoff(self, request, backed_off):
        """Return the refusal of a request whose targets have all requested back-off."""
        service_name = request.service_name
        described = self._backoffs.describe(backed_off[0].instance_id)
        return TargetRefusal(
            BindingCause.BACKED_OFF,
            Reason.OVERLOADED,
            f"All {len(backed_off)} targets that could take it requested "
            f"back-off: {described}.",
            lambda: self._backoffs.come_back_after_s(
                backed_off,
                self._limits.own_asked_per_s(service_name),
                self._longest_delay_s(request),
            ),
        )

    def for_cause(self, cause, request, message):
        """Return the refusal of a request that no target can take for a given cause."""
        reason = Reason.OVERLOADED
        if cause in (BindingCause.OUTAGE, BindingCause.NO_TARGET):
            reason = Reason.NO_TARGET
        return TargetRefusal(
            cause, reason, message, lambda: self._retry_delay_s(request, cause)
        )

    def _longest_delay_s(self, request):
        """Return the longest delay after which the caller still retries, seconds."""
        return request.deadline.left_s() * self._settings.return_limit_share
