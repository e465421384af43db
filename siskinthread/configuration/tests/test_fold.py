"""Tests of the fold: naive replay, golden file, records of mixed versions."""

import json
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from siskinthread.configuration import Account, Placement, Selector, Service
from siskinthread.configuration._fold import Fold, IDS_KEPT
from siskinthread.configuration._records import (
    encode,
    encode_change,
    encode_floor,
    FloorChange,
)
from siskinthread.configuration._snapshots import (
    encode_snapshot,
    restore,
    snapshot_content,
    SnapshotAssembler,
)
from siskinthread.configuration._verdict import Status
from siskinthread.configuration.tests.fakes import body, change, host, START_MS
from siskinthread.configuration.tests.naive_replay import NaiveReplay
from siskinthread.errors import InvariantError
from siskinthread.shared_services import LogRecord

GOLDEN_PATH = Path(__file__).parent / "golden" / "fold.json"
NAMES = ("a", "b")
ZONES = st.sampled_from(("x", "y"))


def put_objects():
    names = st.sampled_from(NAMES)
    return st.one_of(
        st.builds(lambda name, zone: host(name, zone=zone), names, ZONES),
        st.builds(
            lambda name, model: Service(name, {}, "engine", [model], ["GET"], 60.0),
            names,
            st.sampled_from(("m", "n")),
        ),
        st.builds(
            lambda name, zone: Placement(
                name, {}, Selector(""), Selector(f"zone={zone}")
            ),
            names,
            ZONES,
        ),
        st.builds(
            lambda name, digit: Account(name, {}, [digit * 64]),
            names,
            st.sampled_from(("0", "1")),
        ),
    )


def bodies():
    """Return a strategy for one record body.

    Most bodies are changes; some are floors, newer formats or garbage.
    """
    versions = st.integers(-1, 12)
    record_ids = st.integers(0, 9).map(lambda number: f"id{number}")
    removed = st.tuples(
        st.sampled_from(("hosts", "services", "placements")), st.sampled_from(NAMES)
    )
    changes = st.builds(
        change,
        record_ids,
        versions,
        st.lists(
            put_objects(),
            max_size=3,
            unique_by=lambda item: (type(item), item.name),
        ),
        st.one_of(st.just([]), st.just([]), st.lists(removed, max_size=1)),
    )
    floors = st.builds(
        lambda record_id, version, floor: encode_floor(
            FloorChange(record_id, "ada", "", version, floor)
        ),
        record_ids,
        versions,
        st.integers(1, 3),
    )
    newer = st.integers(2, 3).map(
        lambda version: encode({"format": version, "kind": "change", "novel": 1})
    )
    garbage = st.sampled_from((b"", b"[]", b"{", b'{"format":1,"kind":"x"}', b"\xff"))
    encoded = changes.map(encode_change)
    return st.one_of(*[encoded] * 8, floors, newer, garbage)


def with_matching_versions(record_bodies, versions_fit):
    """Yield bodies, with the expected version of the fold set in many of them."""
    replay = NaiveReplay(3)
    for offset, (raw, fits) in enumerate(zip(record_bodies, versions_fit, strict=True)):
        if fits and raw.startswith(b"{") and b"expected_version" in raw:
            value = json.loads(raw)
            value["expected_version"] = replay.version
            raw = encode(value)
        replay.apply(offset, START_MS + offset, raw)
        yield raw


SEQUENCES = st.lists(st.tuples(bodies(), st.integers(0, 3)), min_size=3, max_size=14)


def records_of(sequence):
    raws = [raw for raw, _ in sequence]
    fits = [draw > 0 for _, draw in sequence]
    return [
        LogRecord(offset, START_MS + offset, raw)
        for offset, raw in enumerate(with_matching_versions(raws, fits))
    ]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(SEQUENCES)
def test_fold_agrees_with_naive_replay(sequence):
    """The status of each record, version, objects and homes equal the replay's."""
    fold, replay = Fold(known_format=3), NaiveReplay(3)
    for record in records_of(sequence):
        verdict = fold.apply(record)
        status = replay.apply(record.offset, record.at_ms, record.body)
        assert verdict.status == status, verdict
    content = json.loads(snapshot_content(fold))
    assert content["version"] == replay.version
    assert content["format_floor"] == replay.floor
    assert {
        (kind, plain["name"]): plain
        for kind, plain_objects in content["objects"].items()
        for plain in plain_objects
    } == replay.objects
    assert fold.state.homes_versions == replay.homes_versions()


@settings(derandomize=True, deadline=None, max_examples=100)
@given(SEQUENCES, st.integers(0, 14), st.integers(700, 3000))
def test_snapshot_stands_for_the_records_before_it(sequence, cut, limit_bytes):
    """A fold restored from a snapshot ends in the same state as a complete fold."""
    records = records_of(sequence)
    whole = Fold(known_format=3)
    for record in records[:cut]:
        whole.apply(record)
    assembler = SnapshotAssembler()
    parts = [LogRecord(0, 0, part) for part in encode_snapshot(whole, limit_bytes)]
    assert max(len(part.body) for part in parts) <= limit_bytes
    found = [assembler.add(part) for part in reversed(parts)]
    restored = restore(found[-1], 3)
    for record in records[cut:]:
        whole.apply(record)
        restored.apply(record)
    assert snapshot_content(restored) == snapshot_content(whole)


def test_golden_records():
    """The golden records fold to the golden verdicts and state, byte for byte."""
    golden = json.loads(GOLDEN_PATH.read_text())
    fold = Fold(known_format=2)
    verdicts = []
    for offset, item in enumerate(golden["records"]):
        record = LogRecord(offset, item["at_ms"], item["body"].encode())
        verdict = fold.apply(record)
        verdicts.append([str(verdict.status), verdict.reason])
    assert verdicts == golden["verdicts"]
    assert json.loads(snapshot_content(fold)) == golden["content"]


def apply_all(fold, *record_bodies):
    start = fold.applied_offset + 1
    return [
        fold.apply(LogRecord(start + index, START_MS, raw))
        for index, raw in enumerate(record_bodies)
    ]


def test_programs_of_two_versions_fold_alike_below_the_floor():
    """Guards against nodes with different states for the same version.

    A newer program publishes a record of format 2 while older programs run.  Both must
    reject the record because the floor is 1, although the newer one can read it.
    """
    newer = json.loads(body("r2", 0, [host("h2")]))
    newer["format"] = 2
    records = [body("r1", -1, [host("h1")]), encode(newer), body("r3", 0, [host("h3")])]
    old, new = Fold(known_format=1), Fold(known_format=2)
    statuses = [verdict.status for verdict in apply_all(old, *records)]
    assert statuses == [v.status for v in apply_all(new, *records)]
    assert statuses[1] is Status.FORMAT_ABOVE_FLOOR
    assert snapshot_content(old) == snapshot_content(new)


def test_program_that_does_not_know_the_raised_floor_stops_there():
    """Guards against an old node that diverges after the floor is raised.

    The floor is raised to 2, and a record of format 2 follows.  An old program that
    continued would reject records that all others accept, so it must halt with its last
    state and a reason.
    """
    floor = encode_floor(FloorChange("f", "ada", "", 0, 2))
    old, new = Fold(known_format=1), Fold(known_format=2)
    for fold in (old, new):
        apply_all(fold, body("r1", -1, [host("h1")]), floor)
    apply_all(new, body("r2", 1, [host("h2")]))
    assert "this program knows 1" in old.halted_reason
    assert (old.applied_offset, old.state.version) == (0, 0)
    assert (new.applied_offset, new.state.version) == (2, 2)
    assert old.apply(LogRecord(1, START_MS, body("r2", 0, []))) is None
    assert old.state.version == 0


def test_repeated_id_is_refused_even_when_its_version_fits():
    """Guards against an overwritten change that takes effect again.

    Id r1 is published, another change follows, and r1 is published again with the new
    version.  A check of the expected version alone would accept it.
    """
    fold = Fold()
    verdicts = apply_all(
        fold,
        body("r1", -1, [host("h", v="1")]),
        body("r2", 0, [host("h", v="2")]),
        body("r1", 1, [host("h", v="1")]),
    )
    assert verdicts[2].status is Status.REPEATED
    assert fold.state.hosts["h"].labels == {"v": "2"}


def test_ids_are_forgotten_only_when_old_and_many():
    """A forward jump of the log's clock alone doesn't drop recent ids."""
    fold = Fold()
    for version in range(-1, IDS_KEPT + 4):
        fold.apply(LogRecord(version + 1, START_MS, body(f"r{version}", version)))
    late_ms = START_MS + 10 * 24 * 3600 * 1000
    version = fold.state.version
    fold.apply(LogRecord(version + 1, late_ms, body("late", version)))
    assert len(fold.accepted_ids) == IDS_KEPT
    assert "late" in fold.accepted_ids
    assert "r-1" not in fold.accepted_ids


@pytest.mark.parametrize(
    "raw",
    [
        b"[" * 5000,
        b'{"format":1,"kind":"change","format":1}',
        b'{"format":1e999,"kind":"change"}',
        b'{"format":true,"kind":"change"}',
        b'{"format":1,"kind":"change","put":{"hosts":[NaN]}}',
        body("r", -1, [host("h")]).replace(b'"labels":{}', b'"labels":{},"new":1'),
        body("r", -1, [host("h")]).replace(b'"labels":{},', b""),
        body("r", -1, [host("h"), host("h")]),
        body("r", -1, removed=[("hosts", "h")]),
        body("r", -1, [host("h", v="a b")]),
    ],
)
def test_unreadable_records_are_refused_as_values(raw):
    """Every invalid record gets a verdict, and the fold continues."""
    fold = Fold()
    assert apply_all(fold, raw)[0].status is Status.INVALID
    assert apply_all(fold, body("r", -1))[0].status is Status.ACCEPTED


def test_only_the_next_record_can_be_folded():
    """A gap in the records raises `InvariantError`."""
    with pytest.raises(InvariantError):
        Fold().apply(LogRecord(1, START_MS, b""))
