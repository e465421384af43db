"""Admission of requests."""

from siskinthread.admission._accounts import AccountBuckets
from siskinthread.admission._shares import StaticShares
from siskinthread.admission._shedding import LoadShedder
from siskinthread.outcomes import End, Outcome, Reason


def _unknown_load(service_name):
    return None


class Admission:
    """Admits requests within limits and load.

    Parameters
    ----------
    settings : AdmissionSettings
        Thresholds.
    view : siskinthread.configuration.ConfigurationView
        The limits in force.
    membership : siskinthread.membership.MembershipView
        Number of entry hosts.
    clock : siskinthread.timing.Clock
        Clock of the buckets.
    metrics : siskinthread.observability.Metrics
        Registry.
    target_load : callable or None
        Maps the name of a service to the load of its targets, None if unknown; for
        example `siskinthread.routing.Router.service_load`.
    shares : ShareSource or None
        Part of the limits; equal parts by default.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_decisions",
        "_settings",
        "_shares",
        "_shedder",
        "_target_load",
        "_view",
        "in_flight_count",
    )

    def __init__(
        self,
        settings,
        view,
        membership,
        clock,
        metrics,
        target_load=None,
        shares=None,
    ):
        self._settings = settings
        self._view = view
        self._clock = clock
        self._target_load = target_load or _unknown_load
        self._shares = shares or StaticShares(membership)
        self._shares.listen(self._follow_share)
        self._shedder = LoadShedder(settings)
        self._buckets = {}
        self.in_flight_count = 0
        self._decisions = metrics.counter(
            "admission_decisions", "Requests by decision.", ["decision"]
        )

    def admit(self, request):
        """Admit a request or refuse it at once.

        Parameters
        ----------
        request : siskinthread.dispatch.CallerRequest
            The request; no target has got it from this entry host yet.

        Returns
        -------
        Admitted or siskinthread.outcomes.End
            ``REFUSED_NOT_RUN`` with reason ``limited`` or ``overloaded``; ``UNKNOWN``
            with the same reasons for a request with an idempotency key.

        Notes
        -----
        A request with a key may be the retry of one that did run.  Calling its retry
        "refused, not run" would invite the caller to issue it anew under another key,
        and it would run twice; its outcome is unknown here.
        """
        load = self._target_load(request.service.name)
        if self._shedder.sheds(request.priority, self.in_flight_count, load):
            return self._refuse_overloaded(request)
        buckets = self._account_buckets(request.account.name)
        wait_s = 0.0 if buckets is None else buckets.wait_s(request.token_estimate)
        self._shares.note_demand(request.account.name, wait_s <= 0.0)
        if wait_s > 0.0:
            return self._refuse_limited(request, wait_s)
        if buckets is not None:
            buckets.take(request.token_estimate)
        self.in_flight_count += 1
        self._decisions.labels("admitted").inc()
        return Admitted(self, buckets, request.token_estimate)

    def note_finished(self):
        """Count an admitted request as ended; `Admitted.finish` calls this."""
        self.in_flight_count -= 1

    def _follow_share(self, account_name):
        if account_name in self._buckets:
            self._account_buckets(account_name)

    def _account_buckets(self, account_name):
        state = self._view.state
        limits = None if state is None else state.account_limits(account_name)
        if limits is None:
            self._buckets.pop(account_name, None)
            return None
        fraction = self._shares.fraction(account_name)
        buckets = self._buckets.get(account_name)
        if buckets is None:
            buckets = AccountBuckets(self._clock, limits, fraction)
            self._buckets[account_name] = buckets
        buckets.resize(limits, fraction)
        return buckets

    def _refuse_overloaded(self, request):
        self._decisions.labels("overloaded").inc()
        return End(
            _refusal_outcome(request),
            Reason.OVERLOADED,
            "The system is overloaded.",
            retry_after_s=self._settings.overloaded_retry_after_s,
        )

    def _refuse_limited(self, request, wait_s):
        self._decisions.labels("limited").inc()
        return End(
            _refusal_outcome(request),
            Reason.LIMITED,
            "The account's limit is used up at this entry host.",
            retry_after_s=None if wait_s == float("inf") else wait_s,
        )


class Admitted:
    """A request that was admitted; `finish` must be called exactly once it ends."""

    __slots__ = ("_admission", "_buckets", "_estimated_count", "_finished")

    def __init__(self, admission, buckets, estimated_count):
        self._admission = admission
        self._buckets = buckets
        self._estimated_count = estimated_count
        self._finished = False

    def finish(self, tokens):
        """Note the end of the request; later calls change nothing.

        Parameters
        ----------
        tokens : int
            Tokens that the answer really took.
        """
        if self._finished:
            return
        self._finished = True
        self._admission.note_finished()
        if self._buckets is not None:
            self._buckets.correct(self._estimated_count, tokens)


def _refusal_outcome(request):
    if request.idempotency_key is None:
        return Outcome.REFUSED_NOT_RUN
    return Outcome.UNKNOWN
