"""Tests of the report of the path measurement."""

import types

import pytest

from siskinthread.measurement._path_figures import (
    LevelFigures,
    LoadFigures,
    RoleFigures,
)
from siskinthread.measurement._path_load import LoadResult
from siskinthread.measurement._path_report import AGENT, ENTRY, PathReport
from siskinthread.measurement._path_schedule import LoadLevel

STEP_S = 0.078
SAMPLE_COUNT = 200
MACHINE = types.SimpleNamespace(as_dict=dict)


def figures(
    multiple, added_s=0.0, delivered_share=1.0, wrong_count=0, tokens_per_request=256
):
    """Return the figures of a level with exactly the given values."""
    level = LoadLevel(
        f"x{multiple}", 20.0 * multiple, tokens_per_request, STEP_S, 1.0, 10.0
    )
    result = LoadResult()
    waits_s = [STEP_S * number / SAMPLE_COUNT for number in range(SAMPLE_COUNT)]
    result.next_step_waits_s = waits_s
    result.first_token_times_s = [wait_s + added_s for wait_s in waits_s]
    result.token_count = delivered_share * level.tokens_per_s * level.window_s
    result.wrong_count = wrong_count
    share = 0.01 + 1e-3 * level.requests_per_s + 4e-5 * level.tokens_per_s
    entry = RoleFigures(1, share, 0.0, 50e6 + 30e3 * level.stream_count, 70e6)
    agent = RoleFigures(16, share / 16, 0.0, 40e6, 41e6)
    load = LoadFigures.of(level, [result])
    roles = {ENTRY: entry, AGENT: agent}
    return LevelFigures(level, load, level.tokens_per_s, roles, MACHINE)


def report(multiples, direct_s=0.001):
    idle = {
        ENTRY: RoleFigures(1, 0.01, 0.0, 50e6, 50e6),
        AGENT: RoleFigures(16, 0.01 / 16, 0.0, 40e6, 41e6),
    }
    direct = figures(1, direct_s)
    short = figures(5, tokens_per_request=16)
    return PathReport(idle, direct, short, multiples)


def test_added_time_is_the_difference_to_the_direct_path():
    """The time of the engines is in both figures and cancels out."""
    path = report([figures(1, 0.004)], direct_s=0.001)
    assert path.added_ms(0.5) == pytest.approx(3.0, abs=0.01)
    assert path.added_ms(0.99) == pytest.approx(3.0, abs=0.01)


@pytest.mark.parametrize(
    "fault", [{"added_s": 0.1}, {"delivered_share": 0.95}, {"wrong_count": 1}]
)
def test_capacity_ends_before_the_first_level_that_fails(fault):
    """Late first tokens, missing tokens or a wrong answer each limit the capacity.

    A higher level that passes by chance does not count: an entry that fails at two
    shares can't handle three.
    """
    levels = [figures(1), figures(2, **fault), figures(3)]
    assert report(levels).capacity() == 1
    assert report([figures(1), figures(2), figures(3)]).capacity() == 3


def test_wrong_answer_anywhere_breaks_the_report():
    """A wrong answer at any level fails the report, whatever the other figures."""
    assert report([figures(1), figures(3)]).holds()
    assert not report([figures(1), figures(3), figures(4, wrong_count=1)]).holds()


def test_slopes_are_for_one_process():
    """The slopes of an agent refer to the requests and tokens of that agent."""
    path = report([figures(1), figures(2), figures(3)])
    for role in (ENTRY, AGENT):
        slopes = path.slopes(role)
        assert slopes.request_us == pytest.approx(1000)
        assert slopes.token_us == pytest.approx(40)
    assert path.memory(ENTRY)[1] == pytest.approx(30e3)
