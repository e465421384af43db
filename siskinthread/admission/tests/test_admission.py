"""Tests of limits over all entry hosts, load shedding and the retry budget."""

import random

import pytest
from hypothesis import given, settings, strategies

from siskinthread.admission import Admission, AdmissionSettings, RetryBudget
from siskinthread.configuration import Account, Limits, Selector, Service
from siskinthread.dispatch import CallerRequest
from siskinthread.observability import Metrics
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.timing import Deadline, ManualClock

SERVICE = Service("triage-llm", {}, "engine")
ACCOUNT = Account("inspectorate", {}, [])


class FakeState:
    """A configuration with the same limits for all accounts."""

    def __init__(self, limits):
        self.limits = limits

    def account_limits(self, account_name):
        return self.limits


class FakeView:
    """A configuration view with a fixed state."""

    def __init__(self, limits):
        self.state = FakeState(limits)


class FakeMembership:
    """A membership with a given number of entry hosts."""

    def __init__(self, count):
        self.count = count

    def entry_host_count(self):
        return self.count


def make_limits(requests_per_s=10.0, tokens_per_s=1e9, burst_s=2.0):
    """Return limits that apply to all accounts."""
    return Limits("all", {}, Selector(""), requests_per_s, tokens_per_s, burst_s)


def make_admission(clock, limits, entry_count=1, target_load=None, **changes):
    """Return the `Admission` of an entry host."""
    return Admission(
        AdmissionSettings(**changes),
        FakeView(limits),
        FakeMembership(entry_count),
        clock,
        Metrics(),
        target_load=target_load,
    )


def make_request(clock, priority=2, token_estimate=0, idempotency_key=None):
    """Return a caller's request."""
    return CallerRequest(
        "request",
        ACCOUNT,
        SERVICE,
        "POST",
        "/",
        [],
        b"",
        True,
        Deadline.after(clock, 30.0),
        priority,
        idempotency_key=idempotency_key,
        token_estimate=token_estimate,
    )


request_steps = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.floats(0.0, 0.5),
        strategies.integers(0, 60),
        strategies.integers(0, 60),
    ),
    max_size=120,
)


@given(request_steps, strategies.floats(0.5, 40.0), strategies.floats(10.0, 500.0))
@settings(derandomize=True, deadline=None, max_examples=120)
def test_sum_over_entries_stays_within_limits(
    request_steps, requests_per_s, tokens_per_s
):
    """Admitted requests and tokens stay within rate * time + bursts over all hosts.

    The burst is at least one request and one estimate for each entry host.  Tokens are
    compared after the correction of estimates, so that underestimated tokens add to the
    bound.
    """
    clock = ManualClock()
    limits = make_limits(requests_per_s, tokens_per_s)
    entries = [make_admission(clock, limits, entry_count=3) for _ in range(3)]
    begin_s = clock.monotonic_s()
    request_count = 0
    token_count = 0
    underestimated_count = 0
    for index, wait_s, estimate, true_count in request_steps:
        clock.advance(wait_s)
        request = make_request(clock, token_estimate=estimate)
        admitted = entries[index].admit(request)
        if isinstance(admitted, End):
            continue
        admitted.finish(true_count)
        request_count += 1
        token_count += true_count
        underestimated_count += max(0, true_count - estimate)
    passed_s = clock.monotonic_s() - begin_s
    request_burst = 3 * max(1.0, requests_per_s * 2.0 / 3)
    token_burst = 3 * max(60.0, tokens_per_s * 2.0 / 3)
    assert request_count <= requests_per_s * passed_s + request_burst + 1e-6
    assert token_count <= (
        tokens_per_s * passed_s + token_burst + underestimated_count + 1e-6
    )


def test_risen_part_does_not_count_for_the_past():
    """Guards against exceeding an account's limit when entry hosts vanish.

    A bucket is idle while its share is small, then the share increases.  The time
    before the increase must not be refilled at the new rate, since the vanished hosts
    admitted requests on their shares in that time.
    """
    clock = ManualClock()
    admission = make_admission(clock, make_limits(requests_per_s=20.0), 400)
    admission.admit(make_request(clock))
    clock.advance(0.1)
    admission._shares._membership.count = 1
    assert isinstance(admission.admit(make_request(clock)), End)
    clock.advance(0.06)
    assert isinstance(admission.admit(make_request(clock)), End)
    clock.advance(0.04)
    assert not isinstance(admission.admit(make_request(clock)), End)


def test_refusal_tells_when_the_bucket_has_refilled():
    """A retry is admitted after ``retry_after_s``, and not before."""
    clock = ManualClock()
    admission = make_admission(clock, make_limits(requests_per_s=4.0, burst_s=0.5))
    refusal = None
    while not isinstance(refusal, End):
        refusal = admission.admit(make_request(clock))
    assert (refusal.outcome, refusal.reason) == (
        Outcome.REFUSED_NOT_RUN,
        Reason.LIMITED,
    )
    assert refusal.retry_after_s == pytest.approx(0.25)
    clock.advance(refusal.retry_after_s * 0.99)
    assert isinstance(admission.admit(make_request(clock)), End)
    clock.advance(refusal.retry_after_s * 0.011)
    assert not isinstance(admission.admit(make_request(clock)), End)


def test_refusal_of_a_key_is_unknown():
    """Guards against running a request twice that has an idempotency key.

    A request runs and its answer is lost; the retry exceeds the limit.  If the retry
    were refused as not run, the caller would send the request again under another key.
    """
    clock = ManualClock()
    admission = make_admission(clock, make_limits(requests_per_s=1.0, burst_s=1.0))
    admission.admit(make_request(clock, idempotency_key="alert-1"))
    refusal = admission.admit(make_request(clock, idempotency_key="alert-1"))
    assert (refusal.outcome, refusal.reason) == (Outcome.UNKNOWN, Reason.LIMITED)


def test_small_account_can_always_make_one_request():
    """Guards against refusing a small account for ever.

    A limit of 2 requests per second is divided among 410 entry hosts, so that a bucket
    never holds a whole request.  The bucket must allow debt.
    """
    clock = ManualClock()
    admission = make_admission(clock, make_limits(2.0), entry_count=410)
    assert not isinstance(admission.admit(make_request(clock)), End)
    refusal = admission.admit(make_request(clock))
    assert refusal.retry_after_s == pytest.approx(205.0)


def test_unused_tokens_are_given_back():
    """Overestimated tokens are returned to the limit."""
    clock = ManualClock()
    limits = make_limits(requests_per_s=1000.0, tokens_per_s=100.0, burst_s=1.0)
    admission = make_admission(clock, limits)
    admitted_count = 0
    while not isinstance(
        admitted := admission.admit(make_request(clock, token_estimate=40)), End
    ):
        admitted.finish(10)
        admitted_count += 1
    assert admitted_count == 7


def test_finish_counts_once():
    """A second `finish` changes neither the tokens nor the requests in flight."""
    clock = ManualClock()
    admission = make_admission(clock, make_limits())
    admitted = admission.admit(make_request(clock))
    admitted.finish(0)
    admitted.finish(0)
    assert admission.in_flight_count == 0


def test_least_urgent_are_refused_first():
    """Guards against urgent requests that wait behind less urgent ones in overload.

    The load exceeds the capacity of the targets.  The threshold of refusal must
    increase with the urgency.
    """
    clock = ManualClock()
    load = [0.0]
    admission = make_admission(clock, None, target_load=lambda service: load[0])
    refused_from = {}
    for step in range(0, 40):
        load[0] = step / 10
        for priority in range(6):
            decision = admission.admit(make_request(clock, priority))
            if isinstance(decision, End):
                assert decision.reason is Reason.OVERLOADED
                refused_from.setdefault(priority, load[0])
    assert list(refused_from.values()) == sorted(refused_from.values())
    assert refused_from[0] == 3.0
    assert refused_from[4] == refused_from[5] == 1.5


def test_in_flight_limit_holds_and_frees():
    """At the in-flight limit all requests are refused until one finishes."""
    clock = ManualClock()
    admission = make_admission(clock, None, in_flight_limit=10)
    admitted = [admission.admit(make_request(clock, priority=0)) for _ in range(10)]
    assert isinstance(admission.admit(make_request(clock, priority=0)), End)
    assert isinstance(admission.admit(make_request(clock, priority=4)), End)
    admitted[0].finish(0)
    assert not isinstance(admission.admit(make_request(clock, priority=0)), End)


@given(strategies.integers(0, 2**32))
@settings(derandomize=True, deadline=None, max_examples=40)
def test_retries_stay_within_their_share(seed):
    """Guards against retries that multiply the load of failing targets.

    Every request fails and is retried.  Recent retries must stay within the share of
    the recent requests plus the floor.
    """
    generator = random.Random(seed)
    clock = ManualClock()
    settings_ = AdmissionSettings()
    budget = RetryBudget(settings_, clock)
    requests, retries = [], []
    for _ in range(600):
        clock.advance(generator.choice([0.0, 0.01, 0.2, 1.5]))
        now_s = clock.monotonic_s()
        if generator.random() < 0.6:
            budget.note_request()
            requests.append(now_s)
        elif budget.try_spend():
            retries.append(now_s)
            recent_count = sum(1 for at_s in requests if at_s > now_s - 10.0)
            retry_count = sum(1 for at_s in retries if at_s > now_s - 10.0)
            assert retry_count <= 3 + 0.1 * recent_count


def test_retry_floor_serves_a_quiet_entry():
    """Without traffic, a few retries are allowed in each window."""
    clock = ManualClock()
    budget = RetryBudget(AdmissionSettings(), clock)
    assert [budget.try_spend() for _ in range(4)] == [True, True, True, False]
    clock.advance(10.0)
    assert budget.try_spend()
