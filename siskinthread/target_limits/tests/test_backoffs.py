"""What is believed of back-offs, and how an entry comes back after one."""

import random

import pytest

from siskinthread.gateway.tests.parts import clock, entry, ids
from siskinthread.target_limits import (
    StatedBackoff,
    TargetBackoffs,
    TargetBackoffSettings,
)

SETTINGS = TargetBackoffSettings()
TARGET = entry("i-1")
OTHER = entry("i-2")


class BackedOff:
    """The back-offs of an entry, and the answers of a target."""

    def __init__(self, backoff_s=None):
        self.clock = clock()
        self.backoffs = TargetBackoffs(SETTINGS, self.clock, random.Random(1))
        if backoff_s is not None:
            self.answer(backoff_s)

    def answer(self, backoff_s=0.0, sent_before_s=0.0, target=TARGET, unreadable=None):
        """Let a target answer a request that was sent so long before."""
        sent_at_s = self.clock.monotonic_s() - sent_before_s
        self.backoffs.note_answer(
            target, sent_at_s, StatedBackoff(backoff_s, unreadable)
        )

    def is_admitted(self, may_try=True):
        """Return whether the target may get a request."""
        return TARGET in self.backoffs.admitted([TARGET, OTHER], may_try)

    def send(self):
        """Send requests for as long as the target may get some; return their number."""
        count = 0
        while self.is_admitted() and count < 100:
            self.backoffs.note_sent(TARGET.instance_id)
            count += 1
        return count


def test_target_backoff_for_as_long_as_it_asked():
    """Another target gets the requests meanwhile."""
    backed_off = BackedOff(3.0)
    backed_off.clock.advance(2.99)
    assert ids(backed_off.backoffs.admitted([TARGET, OTHER], True)) == ["i-2"]
    assert backed_off.backoffs.is_backed_off("i-1")
    backed_off.clock.advance(0.02)
    assert backed_off.is_admitted()


@pytest.mark.parametrize("later_s", [0.0, 0.5])
def test_backoff_is_not_ended_by_what_comes_within_it(later_s):
    """A good answer to an earlier request, or a shorter back-off, ended the longer."""
    backed_off = BackedOff(3.0)
    backed_off.clock.advance(1.0)
    backed_off.answer(later_s, sent_before_s=1.5)
    backed_off.clock.advance(1.9)
    assert not backed_off.is_admitted()


def test_latest_end_of_several_backoffs_holds():
    """Each answer asks for its time from then on."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(0.5)
    backed_off.answer(1.0)
    backed_off.clock.advance(0.9)
    assert not backed_off.is_admitted()


def test_one_request_finds_out_whether_the_backoff_is_over():
    """All entries sent all they had at the end of a back-off; the next one began."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(1.0)
    assert backed_off.send() == 1
    backed_off.answer()
    assert backed_off.send() == 2
    backed_off.answer()
    backed_off.answer()
    assert backed_off.send() == 4


def test_target_that_has_answered_is_like_any_other_one():
    """What is held back after a back-off ends with as many answers as it has slots."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(1.0)
    for _ in range(TARGET.slot_count):
        backed_off.answer()
    assert backed_off.send() == 100


def test_target_that_does_not_answer_its_first_request_gets_another():
    """A lost answer kept a target out for good."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(1.0)
    assert backed_off.send() == 1
    backed_off.clock.advance(SETTINGS.try_wait_s)
    assert backed_off.send() == 1


def test_request_that_can_go_nowhere_else_does_not_try_whether_the_backoff_is_over():
    """A caller whose request may have one target only was refused by the try."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(1.5)
    assert not backed_off.is_admitted(may_try=False)
    assert ids(backed_off.backoffs.admitted([TARGET], may_try=False)) == ["i-1"]
    backed_off.backoffs.note_sent("i-1")
    backed_off.answer()
    assert backed_off.is_admitted(may_try=False)


def test_backoff_belongs_to_the_start_of_a_target():
    """A target that has started anew has asked for nothing."""
    backed_off = BackedOff(3.0)
    assert (
        ids(backed_off.backoffs.admitted([entry("i-1@2", listed_id="i-1")], True)) != []
    )


def test_callers_come_back_one_after_the_other_from_the_end_of_the_backoff_on():
    """All callers were told the same moment, at which the next back-off began."""
    backed_off = BackedOff(2.0)
    told_s = [
        backed_off.backoffs.come_back_after_s([TARGET], asked_per_s=10, longest_s=3.0)
        for _ in range(30)
    ]
    assert told_s[:3] == pytest.approx([2.0, 2.1, 2.2])
    assert all(2.0 <= one <= 3.0 for one in told_s)


def test_caller_is_told_the_end_of_a_backoff_that_it_can_not_await():
    """An earlier time would be no more than a wish."""
    backed_off = BackedOff(60.0)
    told_s = backed_off.backoffs.come_back_after_s(
        [TARGET], asked_per_s=10, longest_s=1.0
    )
    assert told_s == pytest.approx(60.0)


def test_unreadable_backoff_is_logged_once_and_asks_for_nothing(caplog):
    """A spoilt header must neither fill the log nor stop the target."""
    backed_off = BackedOff()
    for _ in range(3):
        backed_off.answer(unreadable="soon" * 100)
    assert backed_off.is_admitted()
    assert len(backed_off.backoffs._unreadable) == 1


def test_backoffs_are_bounded_and_forgotten():
    """A target that gets no request for long counts as any other one."""
    backed_off = BackedOff()
    for number in range(SETTINGS.targets_limit + 10):
        backed_off.answer(1.0, target=entry(f"i-{number}"))
    assert backed_off.backoffs.backed_off_count() == SETTINGS.targets_limit
    backed_off.clock.advance(1.0 + SETTINGS.return_memory_s + 0.1)
    backed_off.backoffs.drop_over()
    assert backed_off.backoffs.admitted([TARGET], True) == [TARGET]
    assert backed_off.backoffs._backoffs == {}
