"""Tests of following the log during outages, expiry and loss of records."""

import random

import curio
import pytest

from siskinthread.configuration import (
    ConfigurationSettings,
    ConfigurationView,
    follow_log,
)
from siskinthread.configuration._records import encode, encode_floor, FloorChange
from siskinthread.configuration._schedule import SnapshotSchedule
from siskinthread.configuration._snapshots import encode_snapshot, snapshot_content
from siskinthread.configuration.tests.fakes import (
    body,
    FakeLog,
    host,
    START_MS,
)
from siskinthread.configuration.tests.nodes import changed_log, Node, PLATFORM
from siskinthread.observability import Metrics
from siskinthread.shared_services import LogRecord
from siskinthread.timing import ManualClock

DAY_S = 86_400.0


def snapshot_into(log):
    """Append a snapshot of the log's state to the log."""
    node = Node(log)
    node.step()
    for part in encode_snapshot(node.fold, 4096):
        log.put(part)


def test_outage_at_the_start_leaves_no_state_until_the_log_is_back():
    """Guards against a node that serves an empty configuration.

    The process starts while the log is down, and the log recovers later.
    """
    log = changed_log(2)
    log.down = True
    node = Node(log)
    waits = [node.step() for _ in range(8)]
    assert node.view.state is None
    assert node.troubles("unavailable") == 8
    assert max(waits[:2]) <= 0.4 < max(waits)
    log.down = False
    node.step()
    assert node.version == 1


def test_outage_keeps_the_last_state():
    """A node keeps its state during an outage, with the time of its confirmation."""
    log = changed_log(2)
    node = Node(log)
    node.step()
    confirmed_at_ms = node.view.confirmed_at_ms
    log.down = True
    node.clock.advance(30.0)
    node.step(3)
    assert node.version == 1
    assert node.view.confirmed_at_ms == confirmed_at_ms == START_MS
    log.down = False
    node.step()
    assert node.view.confirmed_at_ms == START_MS + 30_000


def test_follow_log_runs_until_cancelled():
    """The task advances the view while it runs."""

    async def run():
        log, view, advanced = FakeLog(), ConfigurationView(), curio.UniversalEvent()
        view.listen(lambda state: advanced.set())
        arguments = (log, view, PLATFORM, ManualClock(), Metrics())
        task = await curio.spawn(follow_log, *arguments)
        log.put(body("r0", -1, [host("h")]))
        await advanced.wait()
        await task.cancel()
        return view.state.version

    assert curio.run(run) == 0


def test_shortened_log_is_reported_and_never_lowers_the_state():
    """Guards against the loss of a configuration that was in force.

    The log loses its tail, and a node that folded the lost records continues to read.
    It must not adopt the shorter history.
    """
    log = changed_log(4)
    node = Node(log)
    node.step()
    log.truncate(2)
    assert node.step() > 0
    assert node.troubles("shortened") == 1
    assert (node.version, node.fold.applied_offset) == (3, 3)


def test_log_that_grew_again_after_it_was_shortened_is_not_followed():
    """Guards against nodes with different states for the same version.

    Between two reads the log loses two records and gets three others, so that it ends
    beyond the applied offset.  A comparison of offsets alone doesn't detect this.
    """
    log = changed_log(4)
    node = Node(log)
    node.step()
    log.truncate(2)
    for version in (1, 2, 3):
        log.put(body(f"other{version}", version, [host("x")]))
    node.step(2)
    assert node.troubles("rewritten") == 2
    assert node.version == 3
    assert "x" not in node.view.state.hosts


def test_snapshot_of_a_shorter_history_does_not_set_back():
    """Guards against a node that reverts to an older version.

    The log loses its tail, grows again and gets a snapshot.  The node, which folded the
    lost records, has been away so long that it must restart from this snapshot.
    """
    log = changed_log(9)
    node = Node(log)
    node.step()
    shorter = Node(changed_log(3))
    shorter.step()
    shorter.fold.applied_offset = 11
    log.expire(9)
    log.first_offset = 12
    log.put(encode_snapshot(shorter.fold, 4096)[0])
    node.step()
    assert node.version == 8
    assert node.troubles("shortened") == 1


def test_retention_overrun_without_snapshot_is_a_gap():
    """Guards against a node that folds only the remaining part of a log.

    The first records expire before a snapshot is written.  One node starts, and another
    resumes after a pause; both must report a gap.
    """
    log = changed_log(5)
    paused = Node(log)
    log.truncate(2)
    paused.step()
    log = changed_log(5)
    paused.follower._reader._client = log
    log.expire(3)
    started = Node(log)
    for node, version in ((started, None), (paused, 1)):
        node.step()
        assert node.troubles("gap") == 1
        assert node.version == version


def test_node_behind_the_retention_goes_on_from_a_snapshot():
    """A node paused beyond the retention and a starting node use the snapshot."""
    log = changed_log(3)
    paused = Node(log)
    paused.step()
    log.put(body("r3", 2, [host("h9", v="last")]))
    snapshot_into(log)
    log.expire(4)
    log.put(body("r4", 3, [host("h10")]))
    started = Node(log)
    for node in (paused, started):
        node.step()
        assert node.version == 5
        assert "r0" in node.fold.accepted_ids
    assert snapshot_content(paused.fold) == snapshot_content(started.fold)


def test_incomplete_or_damaged_snapshot_is_passed_over():
    """Guards against a node that starts from an incomplete snapshot.

    A writer dies after the first part, or a part is damaged.  The older complete
    snapshot must be used.
    """
    log = changed_log(2)
    for index in range(30):
        log.put(body(f"wide{index}", index + 1, [host(f"wide{index}")]))
    writer = Node(log)
    writer.step()
    parts = encode_snapshot(writer.fold, 4096)
    assert len(parts) > 1
    for part in parts:
        log.put(part)
    log.expire(32)
    log.put(body("later", 31, [host("later")]))
    writer.step()
    later = encode_snapshot(writer.fold, 4096)
    log.put(later[0])
    log.put(later[1].replace(b'"data":"', b'"data":"AAAA', 1))
    node = Node(log)
    node.step()
    assert snapshot_content(node.fold) == snapshot_content(
        (writer.step(), writer.fold)[1]
    )
    assert node.follower._reader.base_offset == 31


def test_snapshot_is_written_well_before_expiry_and_again():
    """Each snapshot is written before the oldest record reaches half the retention."""
    log = changed_log(2)
    node = Node(log, retention_s=DAY_S)
    node.step()
    node.clock.advance(DAY_S * 0.25 - 10)
    node.step()
    assert log.next_offset == 2
    node.clock.advance(DAY_S * 0.25 + 10)
    log.at_ms = node.clock.unix_ms()
    node.step(3)
    assert log.next_offset == 3
    node.clock.advance(DAY_S * 0.5)
    log.at_ms = node.clock.unix_ms()
    node.step(3)
    assert log.next_offset == 4
    assert node.troubles("diverged") is None


def test_another_nodes_snapshot_cancels_the_own_one():
    """Guards against every node writing a snapshot at the same time.

    The deadline of a node is near when it sees the snapshot of another node.
    """
    log = changed_log(2)
    first, second = Node(log), Node(log)
    for node in (first, second):
        node.step()
        node.clock.advance(DAY_S * 0.5)
    log.at_ms = first.clock.unix_ms()
    first.step()
    second.follower._schedule.deadline.at_s += 1.0
    second.step()
    second.clock.advance(2.0)
    second.step()
    assert log.next_offset == 3


def test_many_records_bring_the_next_snapshot_forward():
    """Reaching the record limit bounds the records that a starting node folds."""
    settings = ConfigurationSettings(snapshot_after_records=5, snapshot_spread_s=60.0)
    clock = ManualClock(unix_ms=START_MS)
    schedule = SnapshotSchedule(settings, clock, random.Random(1))
    schedule.observe([LogRecord(offset, START_MS, b"") for offset in range(4)], -1)
    assert schedule.deadline.left_s() >= DAY_S * 0.25
    schedule.observe([LogRecord(4, START_MS, b"")], -1)
    assert schedule.deadline.left_s() <= 60.0


def test_node_whose_clock_is_far_ahead_does_not_write_all_the_time():
    """Guards against a node that fills the log with snapshots.

    Its clock is a day ahead, so it considers every record expired.
    """
    log = changed_log(2)
    node = Node(log)
    node.clock.advance(DAY_S)
    node.step(6)
    assert log.next_offset == 3


def test_differing_snapshot_is_reported():
    """Guards against an undetected difference between the states of two nodes.

    The snapshot of another node at the same offset has different content.
    """
    log = changed_log(2)
    node = Node(log)
    node.step()
    other = Node(changed_log(2))
    other.follower._client.put(b"")
    other.step()
    other.fold.last_author = "mallory"
    other.fold.applied_offset = 1
    log.put(encode_snapshot(other.fold, 4096)[0])
    node.step()
    assert node.troubles("diverged") == 1
    assert node.version == 1


@pytest.mark.parametrize("running", [True, False])
def test_raised_format_halts_an_old_node(running):
    """A running old node keeps its state; a starting old node gets no state."""
    log = changed_log(2)
    node = Node(log)
    if running:
        node.step()
    log.put(encode_floor(FloorChange("floor", "ada", "", 1, 2)))
    log.put(encode({"format": 2, "kind": "change"}))
    node.step(2)
    assert node.version == (1 if running else None)
    assert node.troubles("halted") == 2


def test_snapshot_of_a_newer_format_is_not_read():
    """An old node doesn't start from a snapshot of a format that it can't read."""
    log = changed_log(2)
    log.put(encode_floor(FloorChange("floor", "ada", "", 1, 2)))
    writer = Node(log, known_format=2)
    writer.step()
    log.put(encode_snapshot(writer.fold, 4096)[0])
    log.expire(3)
    old, new = Node(log), Node(log, known_format=2)
    old.step()
    new.step()
    assert (old.version, new.version) == (None, 2)
    assert old.troubles("gap") == 1
