"""What is believed of rests, and how an entry comes back after one."""

import random

import pytest

from siskinthread.gateway.tests.parts import clock, entry, ids
from siskinthread.target_limits import StatedRest, TargetRests, TargetRestSettings

SETTINGS = TargetRestSettings()
TARGET = entry("i-1")
OTHER = entry("i-2")


class Resting:
    """The rests of an entry, and the answers of a target."""

    def __init__(self, rest_s=None):
        self.clock = clock()
        self.rests = TargetRests(SETTINGS, self.clock, random.Random(1))
        if rest_s is not None:
            self.answer(rest_s)

    def answer(self, rest_s=0.0, sent_before_s=0.0, target=TARGET, unreadable=None):
        """Let a target answer a request that was sent so long before."""
        sent_at_s = self.clock.monotonic_s() - sent_before_s
        self.rests.note_answer(target, sent_at_s, StatedRest(rest_s, unreadable))

    def is_admitted(self, may_try=True):
        """Return whether the target may get a request."""
        return TARGET in self.rests.admitted([TARGET, OTHER], may_try)

    def send(self):
        """Send requests for as long as the target may get some; return their number."""
        count = 0
        while self.is_admitted() and count < 100:
            self.rests.note_sent(TARGET.instance_id)
            count += 1
        return count


def test_target_rests_for_as_long_as_it_asked():
    """Another target gets the requests meanwhile."""
    resting = Resting(3.0)
    resting.clock.advance(2.99)
    assert ids(resting.rests.admitted([TARGET, OTHER], True)) == ["i-2"]
    assert resting.rests.is_resting("i-1")
    resting.clock.advance(0.02)
    assert resting.is_admitted()


@pytest.mark.parametrize("later_s", [0.0, 0.5])
def test_rest_is_not_ended_by_what_comes_within_it(later_s):
    """A good answer to a request of before, or a shorter rest, ended the longer one."""
    resting = Resting(3.0)
    resting.clock.advance(1.0)
    resting.answer(later_s, sent_before_s=1.5)
    resting.clock.advance(1.9)
    assert not resting.is_admitted()


def test_latest_end_of_several_rests_holds():
    """Each answer asks for its time from then on."""
    resting = Resting(1.0)
    resting.clock.advance(0.5)
    resting.answer(1.0)
    resting.clock.advance(0.9)
    assert not resting.is_admitted()


def test_one_request_finds_out_whether_the_rest_is_over():
    """All entries sent all they had at the end of a rest, and the next one began."""
    resting = Resting(1.0)
    resting.clock.advance(1.0)
    assert resting.send() == 1
    resting.answer()
    assert resting.send() == 2
    resting.answer()
    resting.answer()
    assert resting.send() == 4


def test_target_that_has_answered_is_like_any_other_one():
    """What is held back after a rest ends with as many answers as it has slots."""
    resting = Resting(1.0)
    resting.clock.advance(1.0)
    for _ in range(TARGET.slot_count):
        resting.answer()
    assert resting.send() == 100


def test_target_that_does_not_answer_its_first_request_gets_another():
    """A lost answer kept a target out for good."""
    resting = Resting(1.0)
    resting.clock.advance(1.0)
    assert resting.send() == 1
    resting.clock.advance(SETTINGS.try_wait_s)
    assert resting.send() == 1


def test_request_that_can_go_nowhere_else_does_not_try_whether_the_rest_is_over():
    """A caller whose request may have one target only was refused by the try."""
    resting = Resting(1.0)
    resting.clock.advance(1.5)
    assert not resting.is_admitted(may_try=False)
    assert ids(resting.rests.admitted([TARGET], may_try=False)) == ["i-1"]
    resting.rests.note_sent("i-1")
    resting.answer()
    assert resting.is_admitted(may_try=False)


def test_rest_belongs_to_the_start_of_a_target():
    """A target that has started anew has asked for nothing."""
    resting = Resting(3.0)
    assert ids(resting.rests.admitted([entry("i-1@2", listed_id="i-1")], True)) != []


def test_callers_come_back_one_after_the_other_from_the_end_of_the_rest_on():
    """All callers were told the same moment, at which the next rest began."""
    resting = Resting(2.0)
    told_s = [
        resting.rests.come_back_after_s([TARGET], asked_per_s=10, longest_s=3.0)
        for _ in range(30)
    ]
    assert told_s[:3] == pytest.approx([2.0, 2.1, 2.2])
    assert all(2.0 <= one <= 3.0 for one in told_s)


def test_caller_is_told_the_end_of_a_rest_that_it_can_not_await():
    """An earlier time would be no more than a wish."""
    resting = Resting(60.0)
    told_s = resting.rests.come_back_after_s([TARGET], asked_per_s=10, longest_s=1.0)
    assert told_s == pytest.approx(60.0)


def test_unreadable_rest_is_logged_once_and_asks_for_nothing(caplog):
    """A spoilt header must neither fill the log nor stop the target."""
    resting = Resting()
    for _ in range(3):
        resting.answer(unreadable="soon" * 100)
    assert resting.is_admitted()
    assert len(resting.rests._unreadable) == 1


def test_rests_are_bounded_and_forgotten():
    """A target that gets no request for long counts as any other one."""
    resting = Resting()
    for number in range(SETTINGS.targets_limit + 10):
        resting.answer(1.0, target=entry(f"i-{number}"))
    assert resting.rests.resting_count() == SETTINGS.targets_limit
    resting.clock.advance(1.0 + SETTINGS.return_memory_s + 0.1)
    resting.rests.drop_over()
    assert resting.rests.admitted([TARGET], True) == [TARGET]
    assert resting.rests._rests == {}
