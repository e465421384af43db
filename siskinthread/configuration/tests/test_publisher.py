"""Publishing with lost, late and failed appends."""

import random

import curio

from siskinthread.configuration import ConfigurationSettings
from siskinthread.configuration._publisher import (
    LostConflict,
    NotKnown,
    Published,
    Publisher,
    Refused,
)
from siskinthread.configuration.tests.fakes import body, change, FakeLog, host
from siskinthread.configuration.tests.nodes import changed_log, Node
from siskinthread.timing import Deadline, ManualClock, SYSTEM_CLOCK

NO_WAIT = ConfigurationSettings(retry_wait_first_s=0.001, retry_wait_limit_s=0.001)


def publish(log, item, deadline=None):
    publisher = Publisher(log, "configuration", item, NO_WAIT, random.Random(1))
    deadline = deadline or Deadline.after(SYSTEM_CLOCK, 10.0)
    return curio.run(publisher.publish, deadline)


def test_lost_append_answer_is_found_in_the_log():
    """Symptom: one change stands in the log twice.

    Events: the append takes effect and its answer is lost.  Cause: the publisher
    appended again without reading the log for its record id.
    """
    log = FakeLog()
    log.lose_answers = 1
    outcome = publish(log, change("r1", -1, [host("h")]))
    assert isinstance(outcome, Published)
    assert (outcome.version, outcome.earlier) == (0, False)
    assert log.next_offset == 1


def test_append_that_lands_late_changes_nothing():
    """Symptom: an overwritten change comes back minutes later.

    Events: an append gets no answer and hangs in the network, the publisher appends
    again and is accepted, another change follows, and then the first copy lands.
    """
    log = FakeLog()
    log.hold_appends = 1
    assert isinstance(publish(log, change("r1", -1, [host("h", v="1")])), Published)
    outcome = publish(log, change("r2", 0, [host("h", v="2")]))
    assert outcome.version == 1
    log.release()
    again = publish(log, change("r1", -1, [host("h", v="1")]))
    assert (again.version, again.earlier) == (0, True)
    assert publish(log, change("r3", 1)).version == 3


def test_conflict_names_the_winner_and_appends_nothing():
    """A change for a version that is no longer in force isn't appended."""
    log = FakeLog()
    log.put(body("r1", -1, [host("h")], author="bo"))
    outcome = publish(log, change("r2", -1, [host("i")]))
    assert isinstance(outcome, LostConflict)
    assert (outcome.version, outcome.author) == (0, "bo")
    assert log.next_offset == 1


def test_refusal_is_final():
    """A record that the fold refuses is not appended over and over."""
    log = FakeLog()
    outcome = publish(log, change("r1", -1, removed=[("hosts", "none")]))
    assert isinstance(outcome, Refused)
    assert "there is no 'none'" in outcome.reason
    assert log.next_offset == 1


def test_unreadable_author_never_reaches_the_log():
    """What every node would refuse is refused before the append."""
    log = FakeLog()
    outcome = publish(log, change("r1", -1, author="two\nlines"))
    assert isinstance(outcome, Refused)
    assert log.next_offset == 0


def test_passed_deadline_tells_whether_anything_was_appended():
    """Symptom: an operator takes an unknown outcome for a failure.

    Events: the log is down, or stops answering after the append.
    """

    class DyingLog(FakeLog):
        async def append(self, stream, raw):
            self.down = True
            self.put(raw)
            clock.advance(60.0)
            return await super().append(stream, raw)

    class DownLog(FakeLog):
        async def read(self, *arguments):
            clock.advance(60.0)
            return await super().read(*arguments)

    for log, appended in ((DyingLog(), True), (DownLog(), False)):
        clock = ManualClock()
        log.down = isinstance(log, DownLog)
        outcome = publish(log, change("r1", -1), Deadline.after(clock, 15.0))
        assert isinstance(outcome, NotKnown)
        assert outcome.appended is appended


def test_same_id_with_other_content_is_refused():
    """An id that was used for another change is never reported as published."""
    log = FakeLog()
    log.put(body("r1", -1, [host("h", v="1")]))
    outcome = publish(log, change("r1", 0, [host("h", v="2")]))
    assert isinstance(outcome, Refused)


def test_publication_on_a_shortened_log_is_accepted_there_and_in_force_nowhere():
    """An operator is told "accepted", and no running process has the change.

    The log loses its last two records and is written on by a publication, which reads
    the log alone.  Running processes hold what was lost, count the log as shortened,
    and follow it no more.  The operator sees that in their logs and
    metrics, has the lost records restored, and publishes again.
    """
    log = changed_log(4)
    node = Node(log)
    node.step()
    lost = log.records[2:]
    log.truncate(2)
    node.step()
    outcome = publish(log, change("r9", 1, [host("x")]))
    assert (type(outcome), outcome.version) == (Published, 2)
    node.step(2)
    assert (node.version, "x" in node.view.state.hosts) == (3, False)
    assert node.troubles("shortened") >= 2
    log.truncate(2)
    log.records += lost
    assert isinstance(publish(log, change("r9", 1, [host("x")])), LostConflict)
    assert publish(log, change("r10", 3, [host("x")])).version == 4
    node.step(2)
    assert (node.version, "x" in node.view.state.hosts) == (4, True)
