"""Tests the measurement of target speeds, and the expiry of measurements."""

import random

import pytest

from siskinthread.gateway._request import TokenCounts
from siskinthread.gateway.tests.parts import entry
from siskinthread.load_control import SpeedSettings, SpeedStatement
from siskinthread.load_control._placement import Candidate, SpeedPlacement
from siskinthread.load_control._speed_view import SpeedView, TargetSpeed
from siskinthread.load_control._target_speeds import TargetSpeeds
from siskinthread.load_control.tests.replay import Kind
from siskinthread.timing import ManualClock

SETTINGS = SpeedSettings()
WORK_S = 0.022
NAMES = ("i-1", "i-2", "i-3")


class Request:
    """The attributes of a request that its duration depends on."""

    def __init__(self, tokens=None):
        kind = Kind("small", 1)
        self.route = kind.route
        self.service_name = "app"
        self.facts = self
        self.token_counts = tokens


class Loads:
    """Loads of idle targets."""

    def total(self, instance_id):
        """Return the number of requests at a target."""
        return 0


class FakePeers:
    """Peers that report given speeds."""

    def __init__(self, **speeds):
        self.reported = {name.replace("_", "-"): one for name, one in speeds.items()}

    def speeds(self):
        """Return the reported speeds."""
        return self.reported


class MeasuringHost:
    """A host that measures three targets."""

    def __init__(self, names=NAMES):
        self.clock = ManualClock()
        self.own = TargetSpeeds(SETTINGS, self.clock)
        self.view = SpeedView(SETTINGS, self.clock, self.own, Loads())
        self.own.slowness_of = self.view.slowness
        self.entries = [entry(one) for one in names]

    def start(self, name, tokens=None):
        """Start a request at a target."""
        return self.own.started(Request(tokens), name, 0.2)

    def serve(self, name, took_s=WORK_S, tokens=None):
        """Let a target serve a request."""
        timed = self.start(name, tokens)
        self.clock.advance(took_s)
        timed.ended(True, False, 0)

    def warm(self, rounds=8):
        """Let all targets serve requests of the typical duration."""
        for _ in range(rounds):
            for one in self.entries:
                self.serve(one.instance_id)

    def slowness(self):
        """Return the slowness of deviating targets, after the cached view expires."""
        self.clock.advance(0.021)
        speeds = self.view.speeds("app", self.entries)
        return {name: one.low for name, one in speeds.items()}


def test_target_that_has_become_slow_is_known_before_its_first_late_answer():
    """Guards against filling a slow target until its first late response."""
    host = MeasuringHost()
    host.warm()
    for _ in range(3):
        host.start("i-3")
    host.clock.advance(4 * WORK_S)
    assert host.slowness()["i-3"] > 3


def test_one_request_that_runs_for_long_needs_to_be_much_later():
    """Guards against ignoring a single overdue request, or overrating it."""
    host = MeasuringHost()
    host.warm()
    host.start("i-3")
    host.clock.advance(1.2 * SETTINGS.overdue_ratio * WORK_S - 0.021)
    assert host.slowness() == {}
    host.clock.advance(4 * WORK_S)
    assert "i-3" in host.slowness()


def test_single_late_answer_does_not_make_a_target_slow():
    """Guards against a single late response that makes a target slow."""
    host = MeasuringHost()
    host.warm()
    host.serve("i-2", 1.4 * WORK_S)
    assert host.slowness() == {}


def test_recovered_target_is_usual_after_two_answers():
    """Guards against avoiding a target for seconds after its recovery."""
    host = MeasuringHost()
    host.warm()
    for _ in range(3):
        host.serve("i-3", 12 * WORK_S)
    assert host.slowness()["i-3"] > 8
    host.clock.advance(1.0)
    host.serve("i-3")
    host.serve("i-3")
    assert host.slowness() == {}


def test_estimate_expires():
    """Guards against a recovered target that gets no request and is never tried."""
    host = MeasuringHost()
    host.warm()
    for _ in range(3):
        host.serve("i-3", 12 * WORK_S)
    assert "i-3" in host.slowness()
    host.clock.advance(SETTINGS.expire_s - 0.5)
    assert "i-3" in host.slowness()
    host.clock.advance(0.5)
    assert host.slowness() == {}


def test_if_all_targets_are_slow_none_counts_as_slow():
    """Guards against avoiding each target in turn as first late responses arrive."""
    host = MeasuringHost()
    host.warm()
    for _ in range(4):
        for one in NAMES:
            host.serve(one, 4 * WORK_S)
    assert host.slowness() == {}


def test_first_target_measured_after_a_process_delay_does_not_get_all_requests():
    """Guards against a target that permanently counts as fast after a process delay.

    Typical durations learned during the delay are too long. Requests then preferred the
    first target that was measured, and no other one was measured any more.
    """
    host = MeasuringHost(("i-1", "i-2", "i-3", "i-4"))
    for one in host.entries:
        host.serve(one.instance_id, 8 * WORK_S)
    # The measurements of the delay have lost their weight by now.
    host.clock.advance(4 * SETTINGS.memory_s)
    for _ in range(4):
        host.serve("i-1")
    assert host.slowness() == {}


def test_target_that_is_faster_than_two_others_counts_as_fast():
    """Guards against missing a fast target where few targets are measured."""
    host = MeasuringHost(("i-1", "i-2", "i-3", "i-4"))
    host.warm()
    for _ in range(3):
        host.serve("i-2")
        host.serve("i-3")
        for _ in range(3):
            host.serve("i-1", 0.1 * WORK_S)
    assert host.slowness()["i-1"] < 0.2


def test_restarted_target_counts_as_usual():
    """Guards against keeping the measurements of a replaced target."""
    host = MeasuringHost()
    host.warm()
    for _ in range(3):
        host.serve("i-3", 12 * WORK_S)
    host.entries[2] = entry("i-4")
    host.own.forget("i-3")
    host.view.forget("i-3")
    assert host.slowness() == {}


def test_large_requests_do_not_make_a_target_slow():
    """Guards against long prompts that make a target count as slow."""
    host = MeasuringHost()
    small, large = TokenCounts(100, 20), TokenCounts(8000, 20)
    for _ in range(6):
        for name in NAMES:
            host.serve(name, WORK_S, small)
        host.serve("i-3", 10 * WORK_S, large)
    assert host.slowness() == {}


def test_what_peers_measured_counts_where_this_host_has_few_requests():
    """Guards against hosts with few requests that ignore measurements of peers."""
    host = MeasuringHost()
    host.warm(1)
    host.view.peers = FakePeers(i_3=SpeedStatement(6.0, 15.0, age_s=0.1))
    assert host.slowness()["i-3"] == pytest.approx(12.2, rel=0.2)


def test_own_earlier_requests_do_not_outweigh_what_peers_have_just_found():
    """Guards against old measurements of a host that outweigh new ones of peers.

    Such a host kept sending to the slow target.
    """
    host = MeasuringHost()
    host.warm(20)
    host.view.peers = FakePeers(i_3=SpeedStatement(3.0, 7.5, age_s=0.05))
    assert host.slowness()["i-3"] > 4


def test_peer_reports_expire():
    """Guards against lost or old reports that exclude a target."""
    host = MeasuringHost()
    host.warm()
    host.view.peers = FakePeers(i_3=SpeedStatement(6.0, 15.0, age_s=0.1))
    assert "i-3" in host.slowness()
    host.view.peers = FakePeers()
    host.clock.advance(SETTINGS.expire_s)
    assert host.slowness() == {}


def test_only_deviating_targets_are_reported_to_peers():
    """Guards against reports that grow with the number of targets."""
    host = MeasuringHost()
    host.warm()
    assert host.view.statements() == {}
    for _ in range(3):
        host.serve("i-3", 12 * WORK_S)
    reported = host.view.statements()
    assert list(reported) == ["i-3"]
    assert reported["i-3"].low() == pytest.approx(2.48, abs=0.4)


def test_reports_to_peers_are_bounded():
    """Guards against a datagram that is truncated at its size limit, and thus lost."""
    host = MeasuringHost([f"i-{number}" for number in range(60)])
    host.warm(4)
    for number in range(40):
        for _ in range(3):
            host.serve(f"i-{number}", 12 * WORK_S)
    assert len(host.view.statements()) <= SETTINGS.told_limit


def test_group_ranks_are_not_measured():
    """Guards against measuring a rank: all ranks of a group wait for the slowest."""
    host = MeasuringHost()
    host.own.group_of = lambda instance_id: "g"
    assert host.start("i-1") is None


def test_target_that_fails_a_tenth_is_known():
    """Guards against a target that fails fast and therefore looks idle."""
    host = MeasuringHost()
    draw = random.Random(1)
    for _ in range(60):
        host.warm(1)
        timed = host.start("i-3")
        host.clock.advance(WORK_S / 4)
        timed.ended(False, draw.random() < 0.2, 0)
    host.slowness()
    speed = host.view.speeds("app", host.entries)["i-3"]
    assert 0.04 <= speed.failure_share <= 0.3


def make_candidate(name, count=0, slowness=1.0, newest_s=0.0):
    """Return a candidate with six slots."""
    speed = None
    if slowness != 1.0:
        speed = TargetSpeed()
        speed.low = speed.high = slowness
        speed.newest_s = newest_s
    return Candidate(entry(name), count, 0, speed)


def prefer(*candidates, unseen_count=0.0, fleet_per_s=500.0, clock=None, seed=1):
    """Return the ids of the preferred targets."""
    clock = clock or ManualClock()
    for one in candidates:
        if one.speed is not None:
            one.speed.newest_s += clock.monotonic_s()
    placement = SpeedPlacement(SETTINGS, clock, random.Random(seed))
    preference = placement.prefer(list(candidates), unseen_count, fleet_per_s)
    return [one.instance_id for one in preference.entries]


def test_slow_target_is_used_if_no_other_admits_the_request():
    """Guards against refusing a request that only a slow target can serve."""
    assert prefer(make_candidate("i-3", slowness=12.0)) == ["i-3"]
    assert prefer(
        make_candidate("i-1", 6), make_candidate("i-3", 2, slowness=12.0)
    ) == ["i-3"]


def test_fast_targets_are_alike():
    """Guards against preferring only one of two fast targets."""
    candidates = (
        make_candidate("i-1"),
        make_candidate("i-2", 2),
        make_candidate("i-3", slowness=4.0),
    )
    assert prefer(*candidates) == ["i-1", "i-2"]


def test_target_is_filled_to_the_level_at_which_it_is_fast():
    """Guards against using the slow last slots of a target while others are free."""
    slowing = make_candidate("i-3", 3, slowness=4.0)
    slowing.speed.low = 1.0
    assert prefer(make_candidate("i-1", 4), slowing) == ["i-1", "i-3"]
    slowing.count = 4
    assert prefer(make_candidate("i-1", 4), slowing) == ["i-1"]


def test_hosts_without_current_loads_do_not_all_choose_the_same_targets():
    """Guards against hosts that all avoid the slow target and fill the others."""
    candidates = make_candidate("i-1", 2), make_candidate("i-3", 2, slowness=2.0)
    drawn = [prefer(*candidates, unseen_count=6, seed=seed) for seed in range(200)]
    assert 20 <= sum(one == ["i-3"] for one in drawn) <= 60


def test_slow_target_gets_a_trial_once_it_is_due():
    """Guards against a trial request from every host at once."""
    candidates = (
        make_candidate("i-1"),
        make_candidate("i-3", slowness=12.0, newest_s=-1.0),
    )
    assert prefer(*candidates, fleet_per_s=1.0) == ["i-3"]
    drawn = [prefer(*candidates, fleet_per_s=500.0, seed=one) for one in range(300)]
    assert sum(one == ["i-3"] for one in drawn) <= 5


def test_statement_round_trip_and_invalid_rows():
    """Guards against an invalid datagram that ends the receiving task."""
    sent = SpeedStatement(2.0, 5.0, 1.0, 2.5, 4.0, 1.0, 0.25)
    read = SpeedStatement.from_row(sent.as_row())
    assert read.as_row() == sent.as_row()
    for row in ([1], [0, 0, 0, 0, 0, 0, "x"], [float("nan"), 0, 0, 0, 0, 0, 1]):
        with pytest.raises((ValueError, TypeError)):
            SpeedStatement.from_row(row)
    huge = SpeedStatement.from_row([1e9, 1e12, -5, 3, 1, 9, -3])
    assert huge.low_weight <= 1000 and huge.low() <= 6
    assert (huge.high_weight, huge.failures, huge.age_s) == (0, 1, 0)
