"""State of back-offs, and how a host resumes sending after a back-off."""

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
    """The back-offs of a host, and the answers of a target."""

    def __init__(self, backoff_s=None):
        self.clock = clock()
        self.backoffs = TargetBackoffs(SETTINGS, self.clock, random.Random(1))
        if backoff_s is not None:
            self.answer(backoff_s)

    def answer(self, backoff_s=0.0, sent_before_s=0.0, target=TARGET, unreadable=None):
        """Let a target answer a request that was sent `sent_before_s` ago."""
        sent_at_s = self.clock.monotonic_s() - sent_before_s
        self.backoffs.note_answer(
            target, sent_at_s, StatedBackoff(backoff_s, unreadable)
        )

    def is_admitted(self, may_try=True):
        """Return whether the target may get a request."""
        return TARGET in self.backoffs.admitted([TARGET, OTHER], may_try)

    def send(self):
        """Send as many requests as are admitted; return their number."""
        count = 0
        while self.is_admitted() and count < 100:
            self.backoffs.note_sent(TARGET.instance_id)
            count += 1
        return count


def test_target_is_backed_off_for_the_requested_time():
    """Another target gets the requests meanwhile."""
    backed_off = BackedOff(3.0)
    backed_off.clock.advance(2.99)
    assert ids(backed_off.backoffs.admitted([TARGET, OTHER], True)) == ["i-2"]
    assert backed_off.backoffs.is_backed_off("i-1")
    backed_off.clock.advance(0.02)
    assert backed_off.is_admitted()


@pytest.mark.parametrize("later_s", [0.0, 0.5])
def test_backoff_is_not_ended_by_later_answers(later_s):
    """An answer to an earlier request, or a shorter back-off, ended a longer one."""
    backed_off = BackedOff(3.0)
    backed_off.clock.advance(1.0)
    backed_off.answer(later_s, sent_before_s=1.5)
    backed_off.clock.advance(1.9)
    assert not backed_off.is_admitted()


def test_latest_end_of_several_backoffs_counts():
    """The duration of each back-off counts from its own answer."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(0.5)
    backed_off.answer(1.0)
    backed_off.clock.advance(0.9)
    assert not backed_off.is_admitted()


def test_single_request_probes_a_target_after_its_backoff():
    """All hosts sent their full load after a back-off and caused the next one."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(1.0)
    assert backed_off.send() == 1
    backed_off.answer()
    assert backed_off.send() == 2
    backed_off.answer()
    backed_off.answer()
    assert backed_off.send() == 4


def test_target_is_unrestricted_after_enough_answers():
    """The restriction ends after as many answers as the target has slots."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(1.0)
    for _ in range(TARGET.slot_count):
        backed_off.answer()
    assert backed_off.send() == 100


def test_target_that_does_not_answer_its_first_request_gets_another():
    """A single lost answer excluded a target for good."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(1.0)
    assert backed_off.send() == 1
    backed_off.clock.advance(SETTINGS.try_wait_s)
    assert backed_off.send() == 1


def test_request_without_alternative_does_not_probe_a_target():
    """A request that could not be retried elsewhere was declined as a probe."""
    backed_off = BackedOff(1.0)
    backed_off.clock.advance(1.5)
    assert not backed_off.is_admitted(may_try=False)
    assert ids(backed_off.backoffs.admitted([TARGET], may_try=False)) == ["i-1"]
    backed_off.backoffs.note_sent("i-1")
    backed_off.answer()
    assert backed_off.is_admitted(may_try=False)


def test_restarted_target_is_not_backed_off():
    """The back-off was requested by the previous instance."""
    backed_off = BackedOff(3.0)
    assert (
        ids(backed_off.backoffs.admitted([entry("i-1@2", listed_id="i-1")], True)) != []
    )


def test_retries_are_spread_after_the_end_of_the_backoff():
    """All callers retried at the same time and caused the next back-off."""
    backed_off = BackedOff(2.0)
    retry_s = [
        backed_off.backoffs.come_back_after_s([TARGET], asked_per_s=10, longest_s=3.0)
        for _ in range(30)
    ]
    assert retry_s[:3] == pytest.approx([2.0, 2.1, 2.2])
    assert all(2.0 <= one <= 3.0 for one in retry_s)


def test_caller_gets_the_end_of_a_backoff_beyond_its_wait():
    """A retry before the end of the back-off would be refused again."""
    backed_off = BackedOff(60.0)
    retry_s = backed_off.backoffs.come_back_after_s(
        [TARGET], asked_per_s=10, longest_s=1.0
    )
    assert retry_s == pytest.approx(60.0)


def test_unreadable_backoff_is_logged_once_and_ignored(caplog):
    """A malformed header must neither fill the log nor stop the target."""
    backed_off = BackedOff()
    for _ in range(3):
        backed_off.answer(unreadable="soon" * 100)
    assert backed_off.is_admitted()
    assert len(backed_off.backoffs._unreadable) == 1


def test_backoffs_are_bounded_and_forgotten():
    """A target that gets no request for a long time is unrestricted again."""
    backed_off = BackedOff()
    for number in range(SETTINGS.targets_limit + 10):
        backed_off.answer(1.0, target=entry(f"i-{number}"))
    assert backed_off.backoffs.backed_off_count() == SETTINGS.targets_limit
    backed_off.clock.advance(1.0 + SETTINGS.return_memory_s + 0.1)
    backed_off.backoffs.drop_over()
    assert backed_off.backoffs.admitted([TARGET], True) == [TARGET]
    assert backed_off.backoffs._backoffs == {}
