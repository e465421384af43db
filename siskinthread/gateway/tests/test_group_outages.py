"""Outages of groups, as an entry and its peers detect them."""

import itertools
import random

import curio
import pytest

from siskinthread.errors import TargetError
from siskinthread.gateway._control_home import ControlHome
from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway.tests.parts import entry, SETTINGS
from siskinthread.gateway.tests.test_target_choice import Parts
from siskinthread.group_maps import (
    GroupDirectory,
    GroupMapSettings,
    OutageWatch,
    RankPlace,
    RankReport,
)
from siskinthread.observability import Metrics
from siskinthread.outcomes import End
from siskinthread.timing import ManualClock, SYSTEM_CLOCK

LAG_S = 0.2
RANKS = ("a-1", "a-2", "a-3")
MAP_SETTINGS = GroupMapSettings()


def report(is_open, epoch, group="a", number=0):
    """Return the report of a rank."""
    return RankReport(group, epoch, number, len(RANKS), is_open, 1, 0, None, None, None)


class Host:
    """State of one entry with two groups, ``a`` and ``b``."""

    def __init__(self, now=None, name="host"):
        self.clock = ManualClock() if now is None else now
        metrics, chance = Metrics(), random.Random(1)
        self.parts = GatewayParts(SETTINGS, "a", None, self.clock, metrics, chance)
        self.parts.choice.group_of = lambda instance_id: instance_id[0]
        self.parts.targets.replace([entry(one) for one in (*RANKS, "b-1", "b-2")])
        self.outages = self.parts.outages
        self.name = name
        self.opened = []
        self.outages.listen(self.opened.append)

    def report(self, is_open, epoch):
        """Process a report that is requested now."""
        observed_at_s = self.clock.monotonic_s() - LAG_S
        self.outages.note_report(report(is_open, epoch), observed_at_s)

    def send_statements(self, other):
        """Deliver the present statements of this host to another one."""
        other.outages.hear(self.outages.statements(), self.name)


def test_report_of_a_newer_epoch_opens_a_group_at_once():
    """Guards against withholding requests from a group for 0.8 s after it opened."""
    host = Host()
    host.outages.note_declined("a")
    host.report(False, 4)
    host.clock.advance(0.1)
    host.report(True, 5)
    assert not host.outages.is_broken("a")
    assert host.opened == ["a"]


def test_report_from_before_the_decline_does_not_open_a_group():
    """Reports lag behind answers: one states open while all ranks decline."""
    host = Host()
    host.outages.note_declined("a")
    host.clock.advance(LAG_S / 2)
    host.report(True, 4)
    assert host.outages.is_broken("a")
    host.clock.advance(LAG_S)
    host.report(True, 4)
    assert not host.outages.is_broken("a")


def test_decline_of_a_request_sent_before_the_opening_breaks_nothing():
    """Guards against ejecting an open group for a decline that was in flight."""
    host = Host()
    host.outages.note_declined("a")
    sent_at_s = host.clock.monotonic_s()
    host.clock.advance(0.3)
    host.report(True, 5)
    host.outages.note_declined("a", sent_at_s)
    assert not host.outages.is_broken("a")
    host.clock.advance(0.1)
    host.outages.note_declined("a", host.clock.monotonic_s())
    assert host.outages.is_broken("a")


def test_failures_of_ranks_are_forgotten_only_if_they_came_from_the_outage():
    """Guards against ejecting the ranks of an open group for up to 4 s."""
    host = Host()
    host.parts.health.failed("a-1", "reset")
    host.clock.advance(10.0)
    host.parts.health.failed("a-1", "reset")
    host.parts.health.failed("a-2", "silent")
    host.clock.advance(1.5)
    host.outages.note_declined("a")
    host.parts.health.failed("a-3", "unreachable")
    host.outages.note_opened("a", 5, "test")
    ejected = [one for one in RANKS if host.parts.health.is_ejected(one)]
    assert ejected == ["a-1"]


def test_streams_from_before_the_outage_do_not_make_the_group_stalled():
    """Guards against a re-formed group that counts as stalled for 1.5 s.

    Streams at ranks that were partitioned get no more events and do not end.
    """
    host = Host()
    progress = host.parts.progress
    for rank in RANKS:
        progress.stream_began("a", rank)
    host.clock.advance(2.0)
    assert progress.is_stalled("a")
    host.outages.note_declined("a")
    host.outages.note_opened("a", 5, "test")
    host.clock.advance(SETTINGS.stall_limit_s + 0.1)
    assert not progress.is_stalled("a")
    for rank in RANKS:
        progress.stream_ended("a", rank)


def test_stalled_group_is_broken_only_with_a_failed_rank():
    """Guards against detecting an outage when a map change holds a group."""
    host = Host()
    for rank in RANKS[:2]:
        host.parts.progress.stream_began("a", rank)
    host.clock.advance(SETTINGS.stall_limit_s + 0.1)
    host.outages.refresh()
    assert not host.outages.is_broken("a")
    host.parts.health.failed("a-3", "silent")
    host.outages.refresh()
    assert host.outages.is_broken("a")
    # A stalled group reports that it is open.
    host.clock.advance(LAG_S + 0.1)
    host.report(True, 4)
    assert host.outages.is_broken("a")
    host.parts.progress.event_came("a")
    host.outages.refresh()
    assert not host.outages.is_broken("a")


def test_one_request_at_a_time_tests_a_group_without_reports():
    """Guards against declines of all requests, and against never testing a group."""
    parts = Parts(*(entry(one) for one in RANKS))
    parts.choice.group_of = lambda instance_id: instance_id[0]
    parts.outages.note_declined("a")
    assert parts.choose() in RANKS
    parts.outages.note_sent("a")
    assert isinstance(parts.choose(), End)
    parts.outages.note_ended("a")
    assert parts.choose() in RANKS
    observed_at_s = parts.clock.monotonic_s()
    parts.outages.note_report(report(False, 4), observed_at_s)
    assert isinstance(parts.choose(), End)
    parts.clock.advance(SETTINGS.outage_reported_s + 0.1)
    assert parts.choose() in RANKS
    parts.outages.note_served("a")
    assert not parts.outages.is_broken("a")


def test_service_without_a_usable_group_has_an_outage():
    """The outage begins when the last group of the service breaks."""
    host = Host()
    host.outages.note_declined("a")
    assert host.outages.service_outage("app") is None
    host.clock.advance(1.0)
    host.outages.note_declined("b")
    began_at_s = host.clock.monotonic_s()
    host.clock.advance(1.0)
    assert host.outages.service_outage("app").began_at_s == began_at_s
    assert host.outages.began_s_ago("a") == 2.0
    host.outages.note_opened("b", None, "test")
    assert host.outages.service_outage("app") is None


def test_late_datagram_does_not_break_a_group_that_has_opened():
    """Guards against hosts that disagree for seconds after a group has opened."""
    now = ManualClock()
    one, two = Host(now, "one"), Host(now, "two")
    one.report(False, 4)
    late = one.outages.statements()
    now.advance(0.5)
    one.report(True, 5)
    one.send_statements(two)
    two.outages.hear(late, "one")
    assert not two.outages.is_broken("a")
    # The group may break again in the epoch in which it has opened.
    now.advance(0.5)
    one.report(False, 5)
    one.send_statements(two)
    assert two.outages.is_broken("a")


@pytest.mark.parametrize("seed", range(200))
def test_hosts_agree_whatever_datagrams_are_lost_or_late(seed):
    """All hosts end with the reported state, although only two get reports."""
    chance = random.Random(seed)
    now = ManualClock()
    hosts = [Host(now, f"host {number}") for number in range(3)]
    epoch, is_open, under_way = 1, True, []
    history = []
    for step in itertools.count():
        now.advance(0.05)
        if step < 100 and step % 20 == 0:
            is_open = not is_open
            epoch += is_open
        history.append((is_open, epoch))
        for host in hosts[:2]:
            if chance.random() < 0.3:
                host.report(*history[max(0, len(history) - 5)])
        if step < 100 and not is_open and chance.random() < 0.1:
            chance.choice(hosts).outages.note_declined("a")
        for host, other in itertools.permutations(hosts, 2):
            if chance.random() > 0.3:
                due = step + chance.choice((0, 0, 0, 8, 20))
                under_way.append((due, other, host.outages.statements()))
        for due, other, statements in under_way:
            if due == step:
                other.outages.hear(statements, "peer")
        if step == 200:
            break
    assert {host.outages.is_broken("a") for host in hosts} == {not is_open}


class LaggingRank:
    """A rank whose reports lag like those of real ranks."""

    def __init__(self, group, instance_id, note_report):
        self._group = group
        self._id = instance_id
        self._note_report = note_report

    async def report(self, wait_s):
        """Report, unless partitioned."""
        asked_at_s = SYSTEM_CLOCK.monotonic_s()
        if self._id in self._group.cut_off and not self._group.is_open(asked_at_s):
            await curio.sleep(wait_s)
            raise TargetError("silent")
        is_open = self._group.is_open(asked_at_s - LAG_S)
        self._group.report_count += 1
        self._note_report(report(is_open, 5 if is_open else 4), asked_at_s - LAG_S)


class OpeningGroup:
    """A group that opens at a given time."""

    def __init__(self, opens_at_s, cut_off):
        self._opens_at_s = opens_at_s
        self.cut_off = cut_off
        self.report_count = 0

    def is_open(self, at_s):
        """Return whether the group was open at a given time."""
        return at_s >= self._opens_at_s


async def first_request_s(broken_s, cut_off):
    """Measure the delay from the opening of a group to its first request.

    Requests arrive every 10 ms at an entry that would prefer the broken group.

    Returns
    -------
    tuple of float, int, int
        Delay, seconds, number of declined requests and number of reports.
    """
    host = Host(SYSTEM_CLOCK)
    parts = host.parts
    for _ in range(4):
        parts.loads.started("b-1")
        parts.loads.started("b-2")
    home = ControlHome(
        SETTINGS, "a", parts.progress, None, parts.slow_targets, parts.outages
    )
    opens_at_s = SYSTEM_CLOCK.monotonic_s() + broken_s
    group = OpeningGroup(opens_at_s, cut_off)
    directory = GroupDirectory(
        lambda one: LaggingRank(group, one.instance_id, parts.outages.note_report),
        MAP_SETTINGS,
        SYSTEM_CLOCK,
    )
    ranks = [one for one in parts.targets.entries() if one.instance_id in RANKS]
    directory.learn(
        ranks,
        {one: RankPlace("a", number, len(RANKS)) for number, one in enumerate(RANKS)},
    )
    watch = OutageWatch(
        directory, list, home, MAP_SETTINGS, SYSTEM_CLOCK, random.Random(1)
    )
    task = await curio.spawn(watch.run)
    declined = 0
    try:
        for rank in cut_off:
            parts.health.failed(rank, "silent")
        while True:
            sent_at_s = SYSTEM_CLOCK.monotonic_s()
            chosen = parts.choice.choose(request_of(parts), set())
            if not isinstance(chosen, End) and chosen.instance_id in RANKS:
                if group.is_open(sent_at_s):
                    return sent_at_s - opens_at_s, declined, group.report_count
                declined += 1
                parts.outages.note_declined("a", sent_at_s)
            await curio.sleep(0.01)
    finally:
        await task.cancel()


def request_of(parts):
    """Return a request to the service of the entries."""
    return Parts.request(parts)


@pytest.mark.parametrize("broken_s", [0.9, 1.25])
def test_group_gets_requests_as_soon_as_its_reports_permit(broken_s):
    """Guards against a first request only 0.8 s after a group has opened.

    Reports lag by 0.2 s, and one is requested every 0.2 s.
    """
    took_s, declined, report_count = curio.run(first_request_s, broken_s, {"a-2"})
    assert took_s < LAG_S + MAP_SETTINGS.outage_watch_interval_s + 0.15
    assert declined <= 2
    # Reports are billed calls.
    limit = (broken_s + took_s) / MAP_SETTINGS.outage_watch_interval_s + 2
    assert report_count <= limit


def test_no_reports_are_requested_while_no_group_is_broken():
    """Guards against billed calls for reports of groups that run."""

    async def main():
        host = Host(SYSTEM_CLOCK)
        home = ControlHome(SETTINGS, "a", host.parts.progress, None, None, host.outages)
        group = OpeningGroup(SYSTEM_CLOCK.monotonic_s(), ())
        directory = GroupDirectory(
            lambda one: LaggingRank(group, one.instance_id, host.outages.note_report),
            MAP_SETTINGS,
            SYSTEM_CLOCK,
        )
        ranks = host.parts.targets.entries()[:1]
        directory.learn(ranks, {ranks[0].instance_id: RankPlace("a", 0, 3)})
        watch = OutageWatch(
            directory, list, home, MAP_SETTINGS, SYSTEM_CLOCK, random.Random(1)
        )
        task = await curio.spawn(watch.run)
        await curio.sleep(0.4)
        await task.cancel()
        return group.report_count

    assert curio.run(main) == 0
