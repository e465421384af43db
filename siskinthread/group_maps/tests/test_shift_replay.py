"""Replays of shifting demand that count late passes until the map follows."""

import random

import curio

from siskinthread.group_maps import (
    ExpertLayout,
    GroupController,
    GroupMapSettings,
    GroupRanks,
    GroupState,
    MapMeasures,
    PassClock,
    PassModel,
    PassView,
    ReportedPass,
)
from siskinthread.group_maps._slow_ranks import SlowRanks
from siskinthread.group_maps.tests.model_group import ModelClient, ModelGroup
from siskinthread.observability import Metrics
from siskinthread.timing import SYSTEM_CLOCK

# Half of the times of an engine whose streams tolerate a pause of 0.12 s and that
# copies an expert in 0.4 s; with fewer ranks.
RANKS, EXPERTS = 6, 48
PASS_LIMIT_S = 0.06
MODEL = PassModel(0.85, fixed_s=0.009, request_s=0.0036)
LAYOUT = ExpertLayout(1, EXPERTS, 11, 4, MODEL, 0.2, 0.05, PASS_LIMIT_S)
RUNNING = 4
CALM_S = 0.8
AFTER_S = 1.6
# Settings of a controller with routine samples only.
WITHOUT_JUMPS = {"jump_ratio": 1000.0}


def settings_with(**changes):
    """Return settings with times that fit the engine of these tests."""
    values = {
        "glance_interval_s": 0.25,
        "look_limit_s": 1.5,
        "busy_look_interval_s": 0.5,
        "least_look_interval_s": 0.125,
        "idle_count_s": 0.15,
        "watch_interval_s": 0.01,
        "change_overhead_s": 0.2,
    }
    return GroupMapSettings(**(values | changes))


def demand(hottest):
    """Return a demand where one expert has two fifths of the load of a set."""
    loads = [0.6 / (EXPERTS - 1)] * EXPERTS
    loads[hottest] = 0.4
    return [loads]


def reported_each(clock, interval_s):
    """Return a callable that gives the newest report of peers on a `PassClock`."""
    reported = []

    def newest_reported():
        now_s = SYSTEM_CLOCK.monotonic_s()
        pass_s = clock.current_s(now_s)
        if pass_s is not None and (
            not reported or now_s - reported[-1].received_at_s > interval_s
        ):
            reported.append(ReportedPass(pass_s, now_s))
        return reported[-1] if reported else None

    return newest_reported


def late_passes(settings, shift_after_s=CALM_S, build_view=None):
    """Return how many passes are too long after a shift of the demand.

    Parameters
    ----------
    settings : GroupMapSettings
        Intervals of the controller.
    shift_after_s : float
        Time of the shift, seconds.
    build_view : callable, optional
        Takes the clock of all streams and returns the pass times that the controller
        sees; it sees all passes by default.
    """

    async def main():
        first = [[tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)]]
        pass_clock = PassClock()
        group = ModelGroup(first, LAYOUT, demand(0), RUNNING, pass_clock)
        clients = [ModelClient(group, number) for number in range(RANKS)]
        controller = GroupController(
            "g",
            GroupRanks(clients, settings),
            LAYOUT,
            pass_clock if build_view is None else build_view(pass_clock),
            GroupState(settings),
            settings,
            SYSTEM_CLOCK,
            MapMeasures(Metrics()),
            SlowRanks([], list, settings),
            random.Random(1),
        )
        tasks = [await curio.spawn(group.run_passes)]
        tasks.append(await curio.spawn(controller.run))
        await curio.sleep(shift_after_s)
        group.loads_by_set = demand(7)
        before = len(group.pass_times_s)
        await curio.sleep(AFTER_S)
        for task in tasks:
            await task.cancel()
        assert not group.mixed_passes
        return sum(one > PASS_LIMIT_S for one in group.pass_times_s[before:])

    return curio.run(main)


def test_map_follows_a_shift_within_the_time_of_a_copy_and_some_passes():
    """Guards against half of all streams being late while demand keeps shifting.

    Passes grow from 0.03 s to 0.07 s as another expert gets in demand; a copy takes
    0.2 s.  The map follows late if demand is sampled at most every 0.5 s, and if the
    end of copying and the pass to hold are known only from reports.

    Copying takes three passes, the counts two, and detecting and arming a few more.  In
    a calm run with twelve ranks the share of streams in time rose from 0.34 to 0.90.
    """
    assert late_passes(settings_with()) <= 11


def test_looking_when_passes_grow_beats_looking_as_a_matter_of_routine():
    """The shift comes just after a sample, so routine samples detect it late."""
    with_jumps = [late_passes(settings_with(), at_s) for at_s in (0.75, 0.9)]
    without = [
        late_passes(settings_with(**WITHOUT_JUMPS), at_s) for at_s in (0.75, 0.9)
    ]
    assert sum(with_jumps) < sum(without)


def test_controller_without_streams_goes_by_what_peers_tell():
    """Guards against streams of two failure domains late for 3 s after a shift.

    The controller of a group has no stream there when the demand shifts, while other
    entries have.  Without reports of peers it detects the shift only with its next
    routine sample.  In a calm run with 32 entries 627 of 3,603 streams were late.
    """

    def blind(clock):
        return PassView(PassClock(), lambda: None)

    def reported(clock):
        return PassView(PassClock(), reported_each(clock, 0.05))

    with_reports = [
        late_passes(settings_with(), at_s, reported) for at_s in (0.75, 0.9)
    ]
    without = [late_passes(settings_with(), at_s, blind) for at_s in (0.75, 0.9)]
    assert sum(with_reports) < 0.7 * sum(without)
