"""Tests of publishing with lost, late and failed appends."""

import random

import curio

from siskinthread.configuration import ConfigurationSettings
from siskinthread.configuration._publisher import (
    Conflict,
    OutcomeUnknown,
    Published,
    Publisher,
    Rejected,
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
    """Guards against a change that is appended twice.

    The append takes effect and its answer is lost.  The publisher must search the log
    for its record id before it appends again.
    """
    log = FakeLog()
    log.lose_answers = 1
    outcome = publish(log, change("r1", -1, [host("h")]))
    assert isinstance(outcome, Published)
    assert (outcome.version, outcome.earlier) == (0, False)
    assert log.next_offset == 1


def test_append_that_lands_late_changes_nothing():
    """Guards against an overwritten change that takes effect again minutes later.

    An append is delayed in the network without an answer, the publisher appends again
    and is accepted, another change follows, and then the first copy takes effect.
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
    """A change for a version that is no longer in force is not appended."""
    log = FakeLog()
    log.put(body("r1", -1, [host("h")], author="bo"))
    outcome = publish(log, change("r2", -1, [host("i")]))
    assert isinstance(outcome, Conflict)
    assert (outcome.version, outcome.author) == (0, "bo")
    assert log.next_offset == 1


def test_refusal_is_final():
    """A record that the fold rejects is not appended again."""
    log = FakeLog()
    outcome = publish(log, change("r1", -1, removed=[("hosts", "none")]))
    assert isinstance(outcome, Rejected)
    assert "there is no 'none'" in outcome.reason
    assert log.next_offset == 1


def test_unreadable_author_never_reaches_the_log():
    """A change that every node would reject is rejected before the append."""
    log = FakeLog()
    outcome = publish(log, change("r1", -1, author="two\nlines"))
    assert isinstance(outcome, Rejected)
    assert log.next_offset == 0


def test_passed_deadline_tells_whether_anything_was_appended():
    """Guards against an unknown outcome that is reported as a failure.

    The log is down, or stops answering after the append.
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
        assert isinstance(outcome, OutcomeUnknown)
        assert outcome.appended is appended


def test_same_id_with_other_content_is_refused():
    """An id that was used for another change is never reported as published."""
    log = FakeLog()
    log.put(body("r1", -1, [host("h", v="1")]))
    outcome = publish(log, change("r1", 0, [host("h", v="2")]))
    assert isinstance(outcome, Rejected)


def test_publication_on_a_shortened_log_is_accepted_there_and_in_force_nowhere():
    """A publication is reported as accepted, but no running process applies it.

    The log loses its last two records, and a publication, which reads only the log, is
    appended.  Running processes have the lost records, report the log as shortened, and
    stop following it.  The operator sees this in logs and metrics, restores the lost
    records, and publishes again.
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
    assert isinstance(publish(log, change("r9", 1, [host("x")])), Conflict)
    assert publish(log, change("r10", 3, [host("x")])).version == 4
    node.step(2)
    assert (node.version, "x" in node.view.state.hosts) == (4, True)
