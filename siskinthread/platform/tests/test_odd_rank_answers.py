"""Reports, counts and maps of ranks that state what no rank can."""

import json

import curio
import pytest

from siskinthread.errors import TargetError
from siskinthread.gateway import TargetEntry
from siskinthread.observability import Metrics
from siskinthread.platform._published import read_route_table
from siskinthread.platform._rank_client import RankClient
from siskinthread.platform.tests.system import published
from siskinthread.platform.tests.test_decoding import ENGINE
from siskinthread.shared_services._http import Answer
from siskinthread.timing import SYSTEM_CLOCK
from standins.odd_entries import with_literal

REPORT = {
    "group": {"name": "g-1", "epoch": 2, "rank": 0, "state": "open"},
    "size": 2,
    "step": 7,
    "map": 3,
    "prepared": 4,
    "armed": {"version": 4, "step": 9},
    "held": 8,
    "running": 5,
    "pace": 1.2,
    "born": 1_700_000_000_000,
}
NUMBER_COUNT = ENGINE["sets"] * ENGINE["experts"]
COUNTS = {"epoch": 2, "step": 7, "counts": [1] * NUMBER_COUNT}
LISTS = {
    "epoch": 2,
    "map": {"version": 3, "experts": [[0, 95], [1], [2]]},
}
# Literals of JSON that are neither an integer from 0 on nor null.
NO_COUNTS = {
    "infinite": "1e400",
    "NaN": "NaN",
    "negative": "-1",
    "a fraction": "1.5",
    "true": "true",
    "a text": '"1"',
    "a list": "[1]",
    "nested": "[" * 100_000 + "]" * 100_000,
    "of 4,000 digits": "1" * 4000,
    "of 5,000 digits": "1" * 5000,
}
NO_PACES = NO_COUNTS | {"0": "0", "1e300": "1e300", "1e-300": "1e-300"}
del NO_PACES["a fraction"]
NO_NAMES = {"a number": "1", "null": "null", "empty": '""', "surrogate": r'"\ud800"'}
# Fields whose numbers are only compared with others, and may be negative.
SIGNED = ("epoch", "step", "held")
COUNT_FIELDS = ("epoch", "rank", "size", "step", "map", "prepared", "held", "running")


class ScriptedHttp:
    """Answers each call with the same body."""

    def __init__(self, body):
        self._body = body

    async def call(self, method, target, body, headers, wait_s):
        """Answer a call."""
        return Answer(200, None, self._body, [])


def rank_client(body):
    """Return the client of a rank that answers with a body."""
    document = published()
    document["services"][0]["engine"] = ENGINE
    layout = read_route_table("config", document).services["app"].experts
    client = RankClient(
        TargetEntry("i-7", "app", "127.0.0.1", 1, "a", 6, False),
        layout,
        Metrics().counter("calls", "Calls.", ("call",)),
        SYSTEM_CLOCK,
        lambda entry, sent_at_s, facts: None,
        lambda report, at_s: None,
    )
    client._http = ScriptedHttp(body)
    return client


def path_of(name):
    """Return the path of a field of a report."""
    return ["group", name] if name in REPORT["group"] else [name]


def cases(path):
    """Return the pairs of a path and of the kinds of numbers that it must not have."""
    kinds = [one for one in NO_COUNTS if one != "negative" or path[-1] not in SIGNED]
    return [(path, kind) for kind in kinds]


def brief(value):
    """Return a short name of a parameter."""
    return str(value)[:40]


REPORT_PATHS = [
    *(path_of(name) for name in COUNT_FIELDS),
    ["armed", "version"],
    ["armed", "step"],
]
REPORT_CASES = [case for path in REPORT_PATHS for case in cases(path)]


def test_sound_answers_are_read():
    """The values that the odd ones replace are accepted."""
    report = curio.run(rank_client(json.dumps(REPORT).encode()).report, 0.1)
    assert (report.epoch, report.pass_number, report.held_pass) == (2, 7, 8)
    assert (report.armed.version, report.armed.pass_number) == (4, 9)
    counts = curio.run(rank_client(json.dumps(COUNTS).encode()).counts, 0.1)
    assert len(counts.counts_by_set) == ENGINE["sets"]
    held = curio.run(rank_client(json.dumps(LISTS).encode()).held_experts, 0.1)
    assert held.experts_by_set == [(0, 95), (1,), (2,)]


@pytest.mark.parametrize(("path", "kind"), REPORT_CASES, ids=brief)
def test_report_with_an_odd_number_is_malformed(path, kind):
    """Guards against a controller that fails for all groups, or orders by nonsense."""
    client = rank_client(with_literal(REPORT, path, NO_COUNTS[kind]))
    with pytest.raises(TargetError):
        curio.run(client.report, 0.1)


@pytest.mark.parametrize("literal", NO_PACES.values(), ids=NO_PACES)
def test_report_with_an_odd_pace_is_malformed(literal):
    """Guards against a plan for ranks that take no time, or for ever."""
    with pytest.raises(TargetError):
        curio.run(rank_client(with_literal(REPORT, ["pace"], literal)).report, 0.1)


@pytest.mark.parametrize("literal", NO_NAMES.values(), ids=NO_NAMES)
def test_report_without_a_name_of_its_group_is_malformed(literal):
    """Guards against a name that metrics and messages can't hold."""
    data = with_literal(REPORT, ["group", "name"], literal)
    with pytest.raises(TargetError):
        curio.run(rank_client(data).report, 0.1)


COUNTS_CASES = [
    case for path in (["epoch"], ["step"], ["counts", 5]) for case in cases(path)
]


@pytest.mark.parametrize(("path", "kind"), COUNTS_CASES, ids=brief)
def test_counts_with_an_odd_number_are_malformed(path, kind):
    """Guards against a demand that can't be calculated with."""
    with pytest.raises(TargetError):
        data = with_literal(COUNTS, path, NO_COUNTS[kind])
        curio.run(rank_client(data).counts, 0.1)


MAP_PATHS = (["epoch"], ["map", "version"], ["map", "experts", 1, 0])
MAP_CASES = [
    *((path, NO_COUNTS[kind]) for one in MAP_PATHS for path, kind in cases(one)),
    (["map", "experts", 1, 0], str(ENGINE["experts"])),
]


@pytest.mark.parametrize(("path", "literal"), MAP_CASES, ids=brief)
def test_map_with_an_odd_number_is_malformed(path, literal):
    """Guards against a map with experts that no rank can hold."""
    with pytest.raises(TargetError):
        curio.run(rank_client(with_literal(LISTS, path, literal)).held_experts, 0.1)


@pytest.mark.parametrize("literal", ['"012"', "7", "null", '{"0": 1}'])
@pytest.mark.parametrize("path", [["map", "experts"], ["map", "experts", 0]], ids=str)
def test_map_whose_experts_are_no_list_is_malformed(path, literal):
    """Guards against experts that are the characters of a text."""
    with pytest.raises(TargetError):
        curio.run(rank_client(with_literal(LISTS, path, literal)).held_experts, 0.1)


@pytest.mark.parametrize("path", [["group", "name"], ["born"], ["pace"], ["held"]])
def test_value_that_is_nested_as_deeply_as_can_be_read_is_malformed(path):
    """Guards against an error on the way to the message of a malformed report."""

    async def main():
        for depth in range(1, 1100):
            literal = "[" * depth + "]" * depth
            client = rank_client(with_literal(REPORT, path, literal))
            with pytest.raises(TargetError):
                await client.report(0.1)

    curio.run(main)
