"""Tests of borrowed shares of limits, with lost and delayed messages."""

import heapq
import random

import pytest
from hypothesis import given, settings, strategies

from siskinthread.admission import (
    Admission,
    AdmissionSettings,
    LentShares,
    ShareSettings,
    StaticShares,
)
from siskinthread.admission.tests.test_admission import (
    FakeView,
    make_limits,
    make_request,
)
from siskinthread.observability import Metrics
from siskinthread.outcomes import End
from siskinthread.timing import ManualClock

RATE_PER_S = 12.0


class FakeEntries:
    """A membership with a given number of entry hosts."""

    def __init__(self, count):
        self._hosts = {f"entry-{index}": None for index in range(count)}

    def entries(self):
        return self._hosts

    def entry_host_count(self):
        return len(self._hosts)


class LendingBench:
    """Entry hosts that borrow shares over a network that loses and delays messages.

    Parameters
    ----------
    count : int
        Number of entry hosts.
    generator : random.Random
        Source of losses and delays.
    loss, delay_s : float
        Fraction of lost messages, and the longest delay of the others, seconds.
    rate_per_s : float
        Limit of the account, requests per second.
    **changes
        Values of `ShareSettings`.
    """

    def __init__(
        self, count, generator, loss=0.0, delay_s=0.0, rate_per_s=RATE_PER_S, **changes
    ):
        self.clock = ManualClock()
        self._generator = generator
        self._loss = loss
        self._delay_s = delay_s
        self._messages = []
        self._message_count = 0
        membership = FakeEntries(count)
        self.shares = {}
        self.admissions = {}
        for host in membership.entries():
            base = StaticShares(membership)
            shares = LentShares(
                ShareSettings(**changes), base, membership, host, self.clock
            )
            self.shares[host] = shares
            self.admissions[host] = Admission(
                AdmissionSettings(),
                FakeView(make_limits(rate_per_s, burst_s=1.0)),
                membership,
                self.clock,
                Metrics(),
                shares=shares,
            )

    def send_request(self, host):
        """Send a request to an entry host; return whether it was admitted."""
        admitted = self.admissions[host].admit(make_request(self.clock))
        if isinstance(admitted, End):
            return False
        admitted.finish(0)
        return True

    def advance(self, step_s):
        """Advance the clock, send new messages and deliver messages that are due."""
        self.clock.advance(step_s)
        for host in self.shares:
            for request in self.shares[host].requests_to_send():
                self._send(self._receive_request, request)
        now_s = self.clock.monotonic_s()
        while self._messages and self._messages[0][0] <= now_s:
            _, _, receive, message = heapq.heappop(self._messages)
            receive(message)

    def _send(self, receive, message):
        if self._generator.random() < self._loss:
            return
        self._message_count += 1
        at_s = self.clock.monotonic_s() + self._generator.random() * self._delay_s
        heapq.heappush(self._messages, (at_s, self._message_count, receive, message))

    def _receive_request(self, request):
        grant = self.shares[request.lender].handle_request(request)
        if grant is not None:
            self._send(self._receive_grant, grant)

    def _receive_grant(self, grant):
        self.shares[grant.request.borrower].handle_grant(grant)


def run_pinned(bench, hosts, duration_s):
    """Send three times the limit to some hosts; return the number admitted."""
    admitted_count = 0
    for index in range(round(duration_s * RATE_PER_S * 3)):
        admitted_count += bench.send_request(hosts[index % len(hosts)])
        bench.advance(1.0 / (RATE_PER_S * 3))
    return admitted_count


def test_pinned_account_reaches_most_of_its_limit():
    """Guards against admitting only a fraction of the limit of a pinned account.

    Keep-alive pins all connections of an account to one of eight entry hosts, where an
    equal share is an eighth of the limit.
    """
    bench = LendingBench(8, random.Random(1))
    run_pinned(bench, ["entry-3"], 20.0)
    admitted_count = run_pinned(bench, ["entry-3"], 30.0)
    assert admitted_count >= 0.85 * RATE_PER_S * 30.0
    assert admitted_count <= RATE_PER_S * 30.0 + 1


def test_lender_keeps_a_remainder_and_gets_its_part_back():
    """A lender keeps a remainder during the loan and its full share after the lease."""
    bench = LendingBench(2, random.Random(1), lease_s=20.0)
    run_pinned(bench, ["entry-0"], 5.0)
    assert bench.shares["entry-1"].fraction("inspectorate") == pytest.approx(0.05)
    assert bench.shares["entry-0"].fraction("inspectorate") == pytest.approx(0.95)
    bench.clock.advance(21.0)
    assert bench.shares["entry-0"].fraction("inspectorate") == pytest.approx(0.5)
    assert bench.shares["entry-1"].fraction("inspectorate") == pytest.approx(0.5)


def test_late_answer_is_not_used_beyond_the_lenders_promise():
    """Guards against exceeding an account's limit after a delay in the network.

    A grant arrives late, shortly before its lender takes the share back.  The borrower
    must count the lease from its request, not from the arrival of the grant.
    """
    bench = LendingBench(2, random.Random(1), lease_s=20.0)
    bench.shares["entry-0"].note_demand("inspectorate", admitted=False)
    (request,) = bench.shares["entry-0"].requests_to_send()
    grant = bench.shares["entry-1"].handle_request(request)
    bench.clock.advance(19.0)
    bench.shares["entry-0"].handle_grant(grant)
    bench.clock.advance(2.5)
    total = sum(shares.fraction("inspectorate") for shares in bench.shares.values())
    assert total == pytest.approx(1.0)


def test_host_that_sees_the_account_lends_nothing():
    """A share that is in use or already lent is not lent."""
    bench = LendingBench(3, random.Random(1))
    for host in ("entry-0", "entry-2"):
        bench.shares[host].note_demand("inspectorate", admitted=False)
    requests = {
        request.lender: request
        for request in bench.shares["entry-0"].requests_to_send()
    }
    assert bench.shares["entry-2"].handle_request(requests["entry-2"]) is None
    assert bench.shares["entry-1"].handle_request(requests["entry-1"]) is not None
    assert bench.shares["entry-1"].handle_request(requests["entry-1"]) is None


def test_lender_does_not_refill_for_the_time_of_the_loan():
    """Guards against exceeding an account's limit when a loan ends.

    The bucket of a lender is in debt, its share is lent, and no request uses the bucket
    until the loan has ended.  The bucket must not be refilled for the time of the loan,
    in which the borrower used the share.
    """
    bench = LendingBench(2, random.Random(1), rate_per_s=0.1, lease_s=20.0, idle_s=1.0)
    assert bench.send_request("entry-1")
    bench.clock.advance(1.5)
    bench.shares["entry-0"].note_demand("inspectorate", admitted=False)
    bench.advance(0.0)
    assert bench.shares["entry-0"].fraction("inspectorate") > 0.9
    bench.clock.advance(21.5)
    assert not bench.send_request("entry-1")


def test_borrower_does_not_refill_for_the_time_between_loans():
    """Guards against exceeding an account's limit with successive loans.

    A loan ends, some time later another loan begins, and the bucket is used only before
    and after that.  The time between must not be refilled as if the loan had continued.
    """
    bench = LendingBench(2, random.Random(1), rate_per_s=0.1, lease_s=20.0, idle_s=1.0)
    assert bench.send_request("entry-0")
    assert not bench.send_request("entry-0")
    bench.advance(0.0)
    assert not bench.send_request("entry-0")
    bench.clock.advance(19.9)
    assert bench.send_request("entry-0")
    bench.clock.advance(10.1)
    bench.shares["entry-0"].note_demand("inspectorate", admitted=False)
    bench.advance(0.0)
    assert bench.shares["entry-0"].fraction("inspectorate") > 0.9
    bench.clock.advance(2.0)
    assert not bench.send_request("entry-0")
    bench.clock.advance(5.0)
    assert bench.send_request("entry-0")


@given(
    strategies.integers(0, 2**32),
    strategies.sampled_from([0.0, 0.3]),
    strategies.sampled_from([0.0, 0.5, 8.0]),
)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_sum_holds_under_lost_and_late_messages(seed, loss, delay_s):
    """Under any losses and delays, admitted requests stay within limit * time + bursts.

    The hosts that get requests change at random.
    """
    generator = random.Random(seed)
    bench = LendingBench(4, generator, loss, delay_s, lease_s=6.0, idle_s=1.0)
    begin_s = bench.clock.monotonic_s()
    admitted_count = 0
    hosts = ["entry-0"]
    for _ in range(500):
        if generator.random() < 0.02:
            hosts = generator.sample(sorted(bench.shares), generator.randint(1, 3))
        for host in hosts:
            admitted_count += bench.send_request(host)
        bench.advance(generator.choice([0.01, 0.05, 0.1, 0.3]))
        passed_s = bench.clock.monotonic_s() - begin_s
        # The burst of each host is a quarter of 12 requests, hence above one request.
        assert admitted_count <= RATE_PER_S * passed_s + RATE_PER_S * 1.0 + 1e-6
    fractions = [shares.fraction("inspectorate") for shares in bench.shares.values()]
    assert sum(fractions) <= 1.0 + 1e-9
