"""Tests of the exchange of records: in an outage, at the start, to offload the log."""

import threading

import curio
from hypothesis import given, settings, strategies as st
from thrift.TSerialization import deserialize, serialize

from siskinthread.configuration import _fold
from siskinthread.configuration._exchange import Peers
from siskinthread.configuration._fold import Fold
from siskinthread.configuration._peers import (
    chosen_readers,
    merge,
    MergeOutcome,
    own_status,
    RecentRecords,
    RECORDS_KEPT,
    records_since,
)
from siskinthread.configuration._snapshots import encode_snapshot, snapshot_content
from siskinthread.configuration.tests.fakes import body, FakeLog, host, START_MS
from siskinthread.configuration.tests.nodes import changed_log, Node
from siskinthread.shared_services import LogRecord
from siskinthread.wire import (
    ConfigurationRecord,
    ConfigurationRequest,
    ConfigurationStatus,
    ConfigurationUpdate,
)


class FakePeers(Peers):
    """Asks other nodes; serializes and deserializes every message."""

    def __init__(self, *nodes, reads_log=True):
        self.nodes = list(nodes)
        self.reader = reads_log

    def reads_log(self):
        return self.reader

    async def ask(self, request, starting):
        request = deserialize(ConfigurationRequest(), serialize(request))
        updates = [await node.follower.answer(request) for node in self.nodes]
        return [deserialize(ConfigurationUpdate(), serialize(item)) for item in updates]


def running_node(log):
    node = Node(log)
    node.step()
    return node


def test_node_that_starts_in_an_outage_starts_from_a_peer():
    """Guards against lost capacity in an isolated domain after a restart.

    The log is down, and a host is replaced while its peers keep running.
    """
    log = changed_log(4)
    peer = running_node(log)
    log.down = True
    started = Node(log, peers=FakePeers(peer))
    started.step()
    assert started.version == 3
    assert snapshot_content(started.fold) == snapshot_content(peer.fold)
    assert started.view.confirmed_at_ms == peer.view.confirmed_at_ms
    alone = Node(log, peers=FakePeers())
    alone.step()
    assert alone.view.state is None


def test_node_that_starts_with_a_shortened_log_takes_the_peers_state():
    """Guards against a restarted node that serves a replaced configuration.

    The log loses its tail, and a new host reads the shorter log.  It must ask its
    peers, which have the newer state.
    """
    log = changed_log(4)
    peer = running_node(log)
    log.truncate(2)
    started = Node(log, peers=FakePeers(peer))
    seen = []
    started.view.listen(lambda state: seen.append(state.version))
    started.step(2)
    assert seen == [3]
    assert started.troubles("shortened") == 1


def test_node_that_starts_takes_the_highest_of_several_peers():
    """The newest of several answers is used, whatever their order."""
    log = changed_log(5)
    ahead = running_node(log)
    log.truncate(2)
    behind = running_node(log)
    log.down = True
    for peers in ([ahead, behind], [behind, ahead]):
        started = Node(log, peers=FakePeers(*peers))
        started.step()
        assert started.version == 4


def test_others_get_records_from_a_reader_and_leave_the_log_alone():
    """Guards against every process polling the log.

    A reader follows the log, and the others ask the reader.  When it dies, its
    confirmations stop, and the others read the log themselves.
    """
    log = changed_log(2)
    reader = running_node(log)
    other = Node(log, peers=FakePeers(reader, reads_log=False))
    other.step()
    reads = log.reads
    for version in range(1, 4):
        log.put(body(f"n{version}", version, [host("n", v=str(version))]))
        reader.step()
        reads_of_reader = log.reads - reads
        other.step()
        assert log.reads - reads == reads_of_reader
        assert other.version == reader.version == version + 1
    other.follower._exchange._peers.nodes.clear()
    log.put(body("last", 4, [host("last")]))
    other.clock.advance(7.0)
    other.step()
    assert other.version == 4
    other.clock.advance(2.0)
    other.step()
    assert other.version == 5


def test_snapshots_are_not_passed_on():
    """Guards against readers that send tens of megabytes after each snapshot.

    Other nodes don't need the snapshot's content.  They must still learn its offset, so
    that none of them writes a snapshot when it becomes a reader.
    """
    log = changed_log(2)
    reader = running_node(log)
    peers = FakePeers(reader, reads_log=False)
    other = Node(log, peers=peers)
    other.step()
    for part in encode_snapshot(reader.fold, 4096):
        log.put(part)
    log.put(body("later", 1, [host("later")]))
    reader.step()
    update = curio.run(reader.follower.answer, ConfigurationRequest(own_status(None)))
    assert len(serialize(update)) < 2 * len(log.records[0].body)
    other.step()
    assert other.version == 3
    assert other.fold.chain == reader.fold.chain
    assert other.follower._reader.base_offset == 1
    assert other.follower._schedule._base_offset == 1


def test_records_of_another_history_are_not_merged():
    """Guards against nodes with different states for the same version.

    The log lost records and grew again.  One node has the old tail, and another, which
    started later, has the new tail.  A comparison of offsets alone doesn't detect this.
    """
    log = changed_log(4)
    old = running_node(log)
    log.truncate(3)
    log.put(body("other", 2, [host("x")]))
    log.put(body("more", 3, [host("y")]))
    new = running_node(log)
    log.down = True
    for asking, answering in ((old, new), (new, old)):
        asking.follower._exchange._peers = FakePeers(answering)
        asking.step()
    assert (old.version, new.version) == (3, 4)
    assert "x" not in old.view.state.hosts
    assert old.troubles("peer_diverged") == 1


def fold_of(records):
    fold, recent = Fold(), RecentRecords()
    for record in records:
        chain = fold.chain
        recent.add(record, chain, fold.apply(record))
    return fold, recent


def answer(base, fold, recent, limit_bytes):
    return records_since(base, fold, recent, own_status(fold), limit_bytes)


def chain_of_records(count):
    return [
        LogRecord(version + 1, START_MS, body(f"r{version}", version, [host("h")]))
        for version in range(-1, count - 1)
    ]


RECORDS = chain_of_records(12)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(st.integers(0, 12), min_size=3, max_size=3),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=12),
    st.integers(600, 4096),
)
def test_any_order_of_exchanges_agrees_with_the_log(lengths, pairs, limit_bytes):
    """After any exchanges, each node has a prefix of the log, and none goes back."""
    nodes = [fold_of(RECORDS[:length]) for length in lengths]
    for asking, answering in pairs:
        fold, recent = nodes[asking]
        update = answer(own_status(fold), *nodes[answering], limit_bytes)
        merged = merge(update, fold, recent, 1)
        assert merged.outcome in (MergeOutcome.ADVANCED, MergeOutcome.UP_TO_DATE)
        assert merged.fold.applied_offset >= fold.applied_offset
        nodes[asking] = (merged.fold, recent)
    for fold, _ in nodes:
        expected, _ = fold_of(RECORDS[: fold.applied_offset + 1])
        assert snapshot_content(fold) == snapshot_content(expected)
    ahead = max((fold for fold, _ in nodes), key=lambda fold: fold.applied_offset)
    assert ahead.applied_offset == max(lengths) - 1


def test_late_answers_and_damaged_snapshots_change_nothing():
    """An answer to an earlier request and an incomplete snapshot are ignored."""
    answerer = fold_of(RECORDS)
    fold, recent = fold_of(RECORDS[:3])
    late = answer(own_status(fold_of(RECORDS[:2])[0]), *answerer, 4096)
    assert merge(late, fold, recent, 1).outcome is MergeOutcome.STALE
    whole = answer(own_status(None), answerer[0], RecentRecords(), 700)
    assert len(whole.snapshot) > 1
    del whole.snapshot[0]
    assert merge(whole, None, recent, 1).outcome is MergeOutcome.UNREADABLE
    assert fold.applied_offset == 2


def test_messages_with_missing_fields_change_nothing():
    """Guards against a node that stops following the log.

    A peer sends messages without required fields.  An error in the task would end it,
    and the node would keep its state forever after a single log line.
    """
    log = changed_log(2)
    node = running_node(log)
    whole = own_status(node.fold)
    ahead = ConfigurationStatus(9, "", None)
    damaged = [
        ConfigurationUpdate(),
        ConfigurationUpdate(ahead, None, [], [], False),
        ConfigurationUpdate(ahead, whole, None, [], False),
        ConfigurationUpdate(ahead, whole, [ConfigurationRecord(2, 0)], [], False),
        ConfigurationUpdate(ahead, whole, [], [b"junk"], False),
    ]

    class DamagedPeers(Peers):
        async def ask(self, request, starting):
            return list(damaged)

    node.follower._exchange._peers = DamagedPeers()
    log.down = True
    node.step()
    assert node.version == 1
    assert node.troubles("peer_unreadable") == 4
    answer = curio.run(node.follower.answer, ConfigurationRequest())
    assert len(answer.records) == 2


def test_node_far_behind_gets_a_snapshot():
    """If the answering node no longer keeps the records, it sends a snapshot."""
    answerer = fold_of(chain_of_records(RECORDS_KEPT + 5))
    for length, by_snapshot in ((3, True), (10, False)):
        fold, recent = fold_of(chain_of_records(length))
        update = answer(own_status(fold), *answerer, 4096)
        assert bool(update.snapshot) is by_snapshot
        assert merge(update, fold, recent, 1).outcome is MergeOutcome.ADVANCED


def test_state_from_a_peer_brings_the_next_snapshot_forward():
    """Guards against the expiry of the log's last snapshot after an outage.

    All hosts are replaced during the outage and start from each other, so none knows
    the age of the newest snapshot in the log.
    """
    log = changed_log(3)
    peer = running_node(log)
    peer.follower._reader._recent = RecentRecords()
    log.down = True
    started = Node(log, peers=FakePeers(peer), snapshot_spread_s=60.0)
    started.step()
    log.down = False
    started.clock.advance(60.0)
    started.step()
    assert log.next_offset == 4


def test_readers_are_few_and_stay_when_others_come_and_go():
    """Removing a host changes at most one reader."""
    hosts = [f"host-{number}" for number in range(40)]
    readers = chosen_readers(hosts, 4)
    assert len(readers) == 4
    for gone in hosts:
        left = chosen_readers([name for name in hosts if name != gone], 4)
        assert len(set(readers) - set(left)) <= (gone in readers)


def test_answering_waits_while_a_thread_folds(monkeypatch):
    """Guards against a peer that reports a divergence that doesn't exist.

    A record is folded in a thread, and a peer asks after the offset is updated but
    before the chain is.  The answer must not be read from the partly updated fold.
    """
    log = FakeLog()
    log.put(body("r0", -1, [host(f"host-{number}") for number in range(400)]))
    node = running_node(log)
    request = ConfigurationRequest(own_status(node.fold))
    log.put(body("r1", 0, [host("late")]))
    in_thread, go_on = curio.UniversalEvent(), threading.Event()
    chained = _fold._extend_chain

    def chained_slowly(chain, digest):
        in_thread.set()
        go_on.wait()
        return chained(chain, digest)

    async def run():
        follow = await curio.spawn(node.follower.step)
        await in_thread.wait()
        asking = await curio.spawn(node.follower.answer, request)
        for _ in range(200):
            await curio.sleep(0)
        go_on.set()
        await follow.join()
        return await asking.join()

    monkeypatch.setattr(_fold, "_extend_chain", chained_slowly)
    update = curio.run(run)
    assert update.status.applied_offset == 1
    assert update.status.chain == node.fold.chain
