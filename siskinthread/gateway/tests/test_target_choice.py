"""Selection of the target for an attempt."""

import random
from types import SimpleNamespace

import pytest

from siskinthread.gateway._account_shares import AccountShares
from siskinthread.gateway._avoided_targets import AvoidedTargets
from siskinthread.gateway._domain_reachability import DomainReachability
from siskinthread.gateway._group_outages import GroupOutages
from siskinthread.gateway._group_progress import GroupProgress
from siskinthread.gateway._parts import Measures
from siskinthread.gateway._request import GatewayRequest, LoadReport, RequestFacts
from siskinthread.gateway._slow_targets import SlowTargets
from siskinthread.gateway._target_choice import TargetChoice
from siskinthread.gateway._target_health import TargetHealth
from siskinthread.gateway._target_list import TargetList
from siskinthread.gateway._target_loads import TargetLoads
from siskinthread.gateway._target_pool import TargetPool
from siskinthread.gateway.tests.parts import clock, entry, SETTINGS
from siskinthread.gateway.tests.test_table import build_route
from siskinthread.load_control import LoadControl, SpeedStatement
from siskinthread.observability import Metrics
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.target_limits import (
    ColdTargets,
    StatedBackoff,
    TargetBackoffs,
    TargetLimits,
)
from siskinthread.timing import Deadline


class FakePeers:
    """Peers that have started requests since their last update.

    Parameters
    ----------
    count : int
        Number of peers that report their loads.
    counts : dict of str to int
        Reported requests by target.
    crowded : bool
        Whether only peers of the own failure domain report often.
    """

    def __init__(self, count, counts=(), crowded=False):
        self._count = count
        self._counts = dict(counts)
        self._crowded = crowded

    def has_fresh_loads(self):
        """Return whether loads are up to date."""
        return True

    def counts(self, instance_id):
        """Return the reported requests at a target."""
        return self._counts.get(instance_id, 0)

    def full_rate_peer_count(self):
        """Return the number of peers that report their loads."""
        return self._count

    def send_interval_s(self):
        """Return the time between two updates of a peer, seconds."""
        return 0.5

    def is_crowded(self):
        """Return whether only peers of the own failure domain report often."""
        return self._crowded


class Parts:
    """Target selection with the components that it uses."""

    def __init__(self, *entries, settings=SETTINGS):
        self.clock = clock()
        self.settings = settings
        self.random = random.Random(1)
        self.targets = TargetList(SETTINGS, self.clock)
        self.targets.replace(entries)
        self.loads = TargetLoads(SETTINGS, self.clock)
        self.health = TargetHealth(SETTINGS, self.clock)
        self.progress = GroupProgress(SETTINGS, self.clock)
        self.outages = GroupOutages(
            SETTINGS, self.clock, self.targets, self.health, self.progress, Metrics()
        )
        self.accounts = AccountShares(SETTINGS, self.clock)
        self.slow_targets = SlowTargets(SETTINGS, self.clock)
        self.limits = TargetLimits(SETTINGS.limits, self.clock, random.Random(2))
        self.backoffs = TargetBackoffs(SETTINGS.backoff, self.clock, random.Random(2))
        self.avoided = AvoidedTargets(SETTINGS, self.clock)
        self.reachability = DomainReachability(SETTINGS, self.clock)
        self.cold = ColdTargets(SETTINGS.cold, self.clock, random.Random(2))
        self.measures = Measures(Metrics())
        self.pool = TargetPool(SETTINGS, self.clock, self.measures)
        self.load_control = LoadControl(self)
        self.choice = TargetChoice(self, "a")

    def request(self, left_s=8.0):
        """Return a request to the service of the targets."""
        return GatewayRequest(
            None,
            b"",
            RequestFacts("id", None, None),
            build_route("a.example", "/"),
            "app",
            None,
            1,
            Deadline.after(self.clock, left_s),
        )

    def choose(self, tried=()):
        """Return the instance id of the chosen target, or the refusal."""
        chosen = self.choice.choose(self.request(), set(tried))
        return chosen if isinstance(chosen, End) else chosen.instance_id


def test_least_loaded_target_is_chosen():
    """Own requests and loads that targets report are both counted."""
    parts = Parts(entry("i-1"), entry("i-2"), entry("i-3"))
    parts.loads.started("i-1")
    parts.loads.report("i-2", LoadReport(3, 0, 6))
    assert parts.choose() == "i-3"


def test_reported_load_counts_only_while_it_is_new():
    """An outdated report of a load must be ignored."""
    parts = Parts(entry("i-1"), entry("i-2"))
    parts.loads.report("i-2", LoadReport(3, 0, 6))
    parts.loads.started("i-1")
    assert parts.choose() == "i-1"
    parts.clock.advance(SETTINGS.load_report_limit_s + 0.1)
    assert parts.choose() == "i-2"


def test_group_load_precedes_rank_load():
    """Guards against the choice of an idle rank in a loaded group.

    The ranks of a group run in lock-step, so the load of the group slows all of them.
    """
    parts = Parts(entry("a-1"), entry("a-2"), entry("b-1"), entry("b-2"))
    parts.choice.group_of = lambda instance_id: instance_id[0]
    for _ in range(4):
        parts.loads.started("a-1")
    for _ in range(1):
        parts.loads.started("b-1")
    parts.loads.started("b-2")
    assert parts.choose()[0] == "b"


def test_second_attempt_leaves_the_group_that_failed():
    """When one rank of a group fails, all ranks of the group fail."""
    parts = Parts(entry("a-1"), entry("a-2"), entry("b-1"))
    parts.choice.group_of = lambda instance_id: instance_id[0]
    for _ in range(3):
        parts.loads.started("b-1")
    assert parts.choose(tried=["a-1"]) == "b-1"


def test_failing_target_is_passed_over_unless_all_fail():
    """A failing target is avoided for a while, unless there is no other."""
    parts = Parts(entry("i-1"), entry("i-2"))
    parts.health.failed("i-1", "can't connect")
    assert parts.choose() == "i-2"
    parts.health.failed("i-2", "can't connect")
    assert parts.choose() in ("i-1", "i-2")


def test_full_targets_refuse_with_a_retry_delay():
    """Requests that can't be served in time are refused immediately."""
    parts = Parts(entry("i-1", slots=2))
    for _ in range(2):
        parts.loads.started("i-1")
    end = parts.choose()
    assert (end.outcome, end.reason) == (Outcome.REFUSED_NOT_RUN, Reason.OVERLOADED)
    assert 0 < end.retry_after_s < 8.0 / 3


@pytest.mark.parametrize("left_s", [0.2, 1.0, 8.0])
def test_retry_delay_is_within_a_third_of_the_remaining_time(left_s):
    """With a longer delay, callers would not retry at all."""
    parts = Parts(entry("i-1"))
    request = parts.request(left_s)
    assert parts.choice.retry_delay_s(request) < left_s / 3
    parts.health.failed("i-1", "can't connect")
    assert parts.choice.retry_delay_s(request) < left_s / 3


def test_callers_refused_together_retry_apart():
    """Guards against synchronized retries that repeat an overload a second later."""
    parts = Parts(entry("i-1"))
    request = parts.request()
    times = {round(parts.choice.retry_delay_s(request), 2) for _ in range(50)}
    assert len(times) > 20


def test_hosts_do_not_all_choose_the_target_that_looked_idle():
    """Guards against streams that wait at full targets while others have free slots.

    39 hosts get load updates every half second and see the same few idle targets.
    Until the next update, all of them would send to the least loaded one.
    """
    loaded = {f"i-{number}": 1 + number % 2 for number in range(20)}
    chosen = set()
    for seed in range(40):
        parts = Parts(*(entry(one, slots=5) for one in [*loaded, "i-idle"]))
        parts.loads.peers = FakePeers(38, loaded)
        parts.choice._random = random.Random(seed)
        for _ in range(6):
            # The rate of own requests is the estimate for the rate of each peer.
            parts.loads.started("i-0")
            parts.loads.ended("i-0")
        chosen.add(parts.choose())
    assert len(chosen) > 15


def test_full_target_is_not_chosen_by_chance():
    """A full target is never indistinguishable from the best one."""
    for seed in range(20):
        parts = Parts(entry("i-full", slots=5), entry("i-free", slots=5))
        parts.loads.peers = FakePeers(38, {"i-full": 5})
        parts.choice._random = random.Random(seed)
        for _ in range(6):
            parts.loads.started("i-free")
            parts.loads.ended("i-free")
        assert parts.choose() == "i-free"


def test_group_that_is_busier_by_less_than_is_unseen_counts_as_alike():
    """Guards against oscillation in which all hosts send to the same group in turn."""
    chosen = set()
    for seed in range(20):
        parts = Parts(entry("a-1", slots=5), entry("b-1", slots=5))
        parts.choice.group_of = lambda instance_id: instance_id[0]
        parts.loads.peers = FakePeers(38, {"a-1": 1})
        parts.choice._random = random.Random(seed)
        for _ in range(6):
            parts.loads.started("b-1")
            parts.loads.ended("b-1")
        chosen.add(parts.choose())
    assert chosen == {"a-1", "b-1"}


class ManyPeers(Parts):
    """Targets in two failure domains, with loads that many peers have reported."""

    def __init__(self, near, away, seed=1):
        loads = {f"near-{number}": load for number, load in enumerate(near)}
        loads |= {f"away-{number}": load for number, load in enumerate(away)}
        super().__init__(
            *(
                entry(one, slots=5, domain="a" if one.startswith("near") else "b")
                for one in loads
            )
        )
        self.loads.peers = FakePeers(9, loads, crowded=True)
        self.choice._random = random.Random(seed)


def test_last_free_slots_are_not_overbooked():
    """Guards against a third more requests in the system than it has slots.

    When a slot gets free, all hosts learn of it with the next update, and ten of them
    send a request to it at the same time.
    """
    many_peers = ManyPeers(near=[5, 5, 5, 4], away=[5, 5, 5, 4])
    assert many_peers.choose().reason == Reason.OVERLOADED


def test_idle_target_elsewhere_does_not_attract_all_hosts():
    """Guards against a third of the streams waiting while other slots are free.

    The hosts of a domain see one idle target in another domain, by updates that are a
    second old, and all of them send to it.
    """
    many_peers = ManyPeers(near=[4, 4, 4], away=[0, 4, 5, 4])
    assert many_peers.choose().startswith("near")


def test_clearly_busier_domain_sends_to_others_by_chance():
    """Requests are spread over all targets there that have free slots."""
    chosen = {
        ManyPeers(near=[4, 4, 5], away=[1, 2, 2, 5], seed=seed).choose()
        for seed in range(40)
    }
    assert chosen == {"away-0", "away-1", "away-2"}


def test_full_domain_sends_to_others():
    """With no free slot in the own domain, any lower load elsewhere is sufficient."""
    assert ManyPeers(near=[5, 5], away=[4, 5]).choose() == "away-0"


def test_own_domain_serves_what_others_can_not():
    """The own domain serves requests if other domains are full or have no targets."""
    assert ManyPeers(near=[4], away=[5, 5]).choose() == "near-0"
    assert ManyPeers(near=[4], away=[]).choose() == "near-0"


def test_full_targets_in_all_domains_refuse():
    """Requests are refused if no target of any domain has a free slot."""
    assert ManyPeers(near=[5], away=[5]).choose().reason == Reason.OVERLOADED


def test_stalled_group_is_avoided():
    """Guards against 40 requests waiting in a stalled group while another has slots."""
    parts = Parts(entry("a-1"), entry("a-2"), entry("b-1"))
    parts.choice.group_of = lambda instance_id: instance_id[0]
    for target in ("a-1", "a-2"):
        parts.progress.stream_began("a", target)
    for _ in range(4):
        parts.loads.started("b-1")
    parts.clock.advance(SETTINGS.stall_limit_s + 0.01)
    assert parts.choose() == "b-1"


def test_listed_target_without_slots_breaks_nothing():
    """Guards against a closed connection for every request to a service.

    This happened when all ranks of a group were listed with 0 slots.
    """
    parts = Parts(entry("a-1", slots=0), entry("a-2", slots=0))
    parts.choice.group_of = lambda instance_id: instance_id[0]
    assert parts.choose() in ("a-1", "a-2")


def test_group_that_has_just_declined_is_not_asked_again():
    """Guards against retries beyond the budget, none of which is served.

    When a rank is cut off, all ranks of the only group decline, and a request declined
    by one rank was sent to the next one.  New requests still try one rank each, which
    detects immediately when the group has recovered.
    """
    parts = Parts(entry("a-1"), entry("a-2"), entry("a-3"))
    parts.choice.group_of = lambda instance_id: instance_id[0]
    first = parts.choose()
    assert first in ("a-1", "a-2", "a-3")
    parts.outages.note_declined("a")
    second = parts.choose(tried=[first])
    assert second.outcome is Outcome.REFUSED_NOT_RUN
    assert second.retry_after_s > 0
    assert parts.choose() in ("a-1", "a-2", "a-3")


def test_failing_target_is_tried_if_there_is_no_other():
    """If all targets of a service fail, only a request can detect a recovery."""
    parts = Parts(entry("i-1"))
    parts.health.failed("i-1", "reset")
    assert parts.choose() == "i-1"


def request_backoff(parts, target, wait_s):
    """Record an answer of a target that requests back-off."""
    now_s = parts.clock.monotonic_s()
    parts.backoffs.note_answer(target, now_s, StatedBackoff(wait_s))


def test_backed_off_target_is_not_chosen_though_all_others_fail():
    """A target in back-off gets no request even if all other targets fail."""
    backed_off, failing = entry("i-1"), entry("i-2")
    parts = Parts(backed_off, failing)
    request_backoff(parts, backed_off, 3.0)
    parts.health.failed("i-2", "status 500")
    assert {parts.choose() for _ in range(20)} == {"i-2"}


def test_retry_delay_ends_with_the_first_back_off():
    """Retries at other times meet the back-off or are later than necessary."""
    first, second = entry("i-1"), entry("i-2")
    parts = Parts(first, second)
    request_backoff(parts, first, 3.0)
    request_backoff(parts, second, 1.0)
    parts.clock.advance(0.4)
    refusal = parts.choose()
    assert (refusal.outcome, refusal.reason) == (
        Outcome.REFUSED_NOT_RUN,
        Reason.OVERLOADED,
    )
    assert refusal.retry_after_s == pytest.approx(0.6)
    assert "requested back-off" in refusal.message


def test_last_try_of_a_request_goes_to_a_target_that_has_answered():
    """The last attempt of a request must not probe a target after its back-off."""
    returning, busy = entry("i-1"), entry("i-2")
    parts = Parts(returning, busy, entry("i-3"))
    request_backoff(parts, returning, 1.0)
    parts.clock.advance(1.5)
    for _ in range(3):
        parts.loads.started("i-2")
    assert parts.choose(tried=["i-3"]) == "i-2"


def test_target_that_has_declined_gets_a_request_only_if_the_others_are_full():
    """A target that declines immediately looks idle, and was preferred for that."""
    declining, busy = entry("i-1"), entry("i-2")
    parts = Parts(declining, busy)
    parts.avoided.declined("i-1")
    for _ in range(3):
        parts.loads.started("i-2")
    assert parts.choose() == "i-2"
    for _ in range(3):
        parts.loads.started("i-2")
    assert parts.choose() == "i-1"


def test_target_that_has_declined_goes_before_one_that_fails():
    """A failing target may have run a lost request; a declining one has not."""
    parts = Parts(entry("i-1"), entry("i-2"))
    parts.avoided.declined("i-1")
    parts.health.failed("i-2", "status 500")
    assert parts.choose() == "i-1"


def test_request_that_is_released_at_a_pace_may_have_the_last_slot():
    """Guards against requests that wait although the last slots are free.

    These slots are reserved for requests of peers; paced requests account for them.
    """
    parts = Parts(entry("i-1", slots=20))
    for _ in range(19):
        parts.loads.started("i-1")
    request = parts.request()
    assert isinstance(parts.choice.choose(request, set()), End)
    request.is_paced = True
    assert parts.choice.choose(request, set()).instance_id == "i-1"
    parts.loads.started("i-1")
    assert isinstance(parts.choice.choose(request, set()), End)


def test_slow_target_is_avoided_for_other_domains():
    """Hosts sent to a slow target because it was the only one in their domain."""
    many_peers = ManyPeers(near=[1], away=[1, 1])
    speeds = {"near-0": SpeedStatement(6.0, 15.0, age_s=0.1)}
    many_peers.load_control.speeds.peers = SimpleNamespace(speeds=lambda: speeds)
    assert {many_peers.choose() for _ in range(20)} == {"away-0", "away-1"}


def test_slow_target_is_chosen_for_a_request_that_only_it_may_get():
    """A request was refused although a slow target could still serve it."""
    parts = Parts(entry("i-1"), entry("i-2"), entry("i-3"))
    speeds = {"i-3": SpeedStatement(6.0, 15.0, age_s=0.1)}
    parts.load_control.speeds.peers = SimpleNamespace(speeds=lambda: speeds)
    assert {parts.choose() for _ in range(20)} == {"i-1", "i-2"}
    assert parts.choose(tried=["i-1", "i-2"]) == "i-3"
