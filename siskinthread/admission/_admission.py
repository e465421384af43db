"""Admission of requests by account limits and load."""

from siskinthread.admission._accounts import AccountBuckets
from siskinthread.admission._shares import StaticShares
from siskinthread.admission._shedding import LoadShedder
from siskinthread.outcomes import End, Outcome, Reason


def _unknown_load(service_name):
    return None


class Admission:
    """Admit requests within the limits of their accounts and the load.

    Parameters
    ----------
    settings : AdmissionSettings
        Thresholds of load shedding.
    view : siskinthread.configuration.ConfigurationView
        Configuration with the limits in force.
    membership : siskinthread.membership.MembershipView
        Number of entry hosts, used for the default of `shares`.
    clock : siskinthread.timing.Clock
        Clock for the token buckets.
    metrics : siskinthread.observability.Metrics
        Registry for the count of decisions.
    target_load : callable or None
        Takes the name of a service and returns the load of its targets, None if
        unknown; for example `siskinthread.routing.Router.service_load`.
    shares : ShareSource or None
        This entry host's share of the limits; by default equal for all entry hosts.

    Attributes
    ----------
    in_flight_count : int
        Admitted requests that have not finished.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_decision_counter",
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
        self._shares.listen(self._update_buckets)
        self._shedder = LoadShedder(settings)
        self._buckets = {}
        self.in_flight_count = 0
        self._decision_counter = metrics.counter(
            "admission_decisions", "Requests by decision.", ["decision"]
        )

    def admit(self, request):
        """Admit a request or refuse it immediately.

        Parameters
        ----------
        request : siskinthread.dispatch.CallerRequest
            The request, not yet sent to any target by this entry host.

        Returns
        -------
        Admitted or siskinthread.outcomes.End
            An `End` has the outcome ``REFUSED_NOT_RUN`` with reason ``limited`` or
            ``overloaded``; for a request with an idempotency key it has the outcome
            ``UNKNOWN`` with the same reasons.

        Notes
        -----
        A request with an idempotency key may be a retry of a request that did run.  If
        the retry were refused as not run, the caller could send the request again under
        another key, and it would run twice.  Therefore its outcome is unknown here.
        """
        load = self._target_load(request.service.name)
        if self._shedder.should_shed(request.priority, self.in_flight_count, load):
            return self._refuse_overloaded(request)
        buckets = self._buckets_of(request.account.name)
        wait_s = 0.0 if buckets is None else buckets.wait_s(request.token_estimate)
        self._shares.note_demand(request.account.name, wait_s <= 0.0)
        if wait_s > 0.0:
            return self._refuse_limited(request, wait_s)
        if buckets is not None:
            buckets.take(request.token_estimate)
        self.in_flight_count += 1
        self._decision_counter.labels("admitted").inc()
        return Admitted(self, buckets, request.token_estimate)

    def note_finished(self):
        """Count an admitted request as finished; called by `Admitted.finish`."""
        self.in_flight_count -= 1

    def _update_buckets(self, account_name):
        if account_name in self._buckets:
            self._buckets_of(account_name)

    def _buckets_of(self, account_name):
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
        self._decision_counter.labels("overloaded").inc()
        return End(
            _refusal_outcome(request),
            Reason.OVERLOADED,
            "The system is overloaded.",
            retry_after_s=self._settings.overloaded_retry_after_s,
        )

    def _refuse_limited(self, request, wait_s):
        self._decision_counter.labels("limited").inc()
        return End(
            _refusal_outcome(request),
            Reason.LIMITED,
            "The account's limit is used up at this entry host.",
            retry_after_s=None if wait_s == float("inf") else wait_s,
        )


class Admitted:
    """An admitted request; `finish` must be called when the request ends.

    Parameters
    ----------
    admission : Admission
        Where the request counts as in flight.
    buckets : AccountBuckets or None
        Buckets that were charged; None without limits.
    estimated_count : int
        Tokens that were charged.
    """

    __slots__ = ("_admission", "_buckets", "_estimated_count", "_finished")

    def __init__(self, admission, buckets, estimated_count):
        self._admission = admission
        self._buckets = buckets
        self._estimated_count = estimated_count
        self._finished = False

    def finish(self, tokens):
        """Record the end of the request; further calls have no effect.

        Parameters
        ----------
        tokens : int
            Actual number of tokens.
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
