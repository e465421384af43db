"""State of rate limits, and which requests are admitted."""

import random

import pytest

from siskinthread.gateway.tests.parts import clock, entry
from siskinthread.target_limits import (
    LimitStatement,
    StatedLimit,
    TargetLimits,
    TargetLimitSettings,
)

SETTINGS = TargetLimitSettings()
TARGET = entry("i-1")
OTHER = entry("i-2", service="other")


class FakePeers:
    """Other hosts with a given request rate."""

    def __init__(self):
        self.other_hosts_per_s = 0.0
        self.turn = 0

    def asked_per_s(self, service_name):
        """Return the request rate of the other hosts."""
        return self.other_hosts_per_s

    def silent_asked_per_s(self, service_name):
        """Return the request rate of silent failure domains: none."""
        return 0.0

    def rendezvous_position(self, name):
        """Return the number of hosts before this one."""
        return self.turn


class Limited:
    """The limits of a host, and its callers."""

    def __init__(self, rate_per_s=None):
        self.clock = clock()
        self.limits = TargetLimits(SETTINGS, self.clock, random.Random(1))
        self.limits.peers = self.peers = FakePeers()
        if rate_per_s is not None:
            self.answer(rate_per_s)

    def answer(self, rate_per_s, sent_before_s=0.0):
        """Let the target answer a request that was sent `sent_before_s` ago."""
        sent_at_s = self.clock.monotonic_s() - sent_before_s
        self.limits.note_answer(TARGET, sent_at_s, StatedLimit(rate_per_s))

    def sent_count(self, asked_per_s, for_s):
        """Return how many requests of callers are sent within a time."""
        sent_count = 0
        for _ in range(round(asked_per_s * for_s)):
            self.clock.advance(1 / asked_per_s)
            self.limits.note_asked(TARGET.service_name, 1)
            if self.limits.admitted([TARGET], "app", 1):
                self.limits.note_sent(TARGET.instance_id)
                sent_count += 1
        return sent_count

    def rate_per_s(self):
        """Return the known limit, or None."""
        reported = [one.rate_per_s for one in self.limits.statements()]
        return reported[0] if reported else None


def test_target_without_a_limit_gets_all_requests():
    """Without a stated limit, requests are neither held back nor counted for peers."""
    limited = Limited()
    assert limited.sent_count(50, for_s=4) == 200
    assert limited.limits.statements() == []
    assert limited.limits.asked_rates() == {}


def test_limit_is_shared_by_request_rate():
    """A host's share is that of its callers, independent of the number of hosts."""
    alone = Limited(10)
    assert 32 <= alone.sent_count(50, for_s=4) <= 65
    shared = Limited(10)
    shared.peers.other_hosts_per_s = 50.0
    shared.sent_count(50, for_s=4)
    shared.answer(10)
    assert 16 <= shared.sent_count(50, for_s=4) <= 32


def test_other_targets_are_not_limited():
    """A limit applies to one target, not to its service."""
    limited = Limited(0)
    assert not limited.limits.admitted([TARGET], "app", 1)
    assert limited.limits.admitted([entry("i-9")], "app", 1)


def test_overtaken_answer_neither_ends_nor_restores_a_limit():
    """An overloaded server repeatedly got all requests for a moment.

    Answers overtake each other: an answer without a limit, to a request that was sent
    before the limit was stated, arrives after the statement.  Likewise, a late answer
    must not restore a limit that has ended.
    """
    limited = Limited(5)
    limited.clock.advance(0.1)
    limited.answer(None, sent_before_s=0.2)
    assert limited.rate_per_s() == 5
    limited.answer(None, sent_before_s=0.05)
    assert limited.rate_per_s() is None
    limited.clock.advance(0.1)
    limited.answer(5, sent_before_s=0.2)
    assert limited.rate_per_s() is None


def test_newer_statement_counts_from_any_source():
    """A peer's statement that is older than the known one changes nothing."""
    limited = Limited(5)
    limited.clock.advance(1.0)
    older = LimitStatement("i-1", "app", None, age_s=1.5)
    limited.limits.hear([older], "peer")
    assert limited.rate_per_s() == 5
    newer = LimitStatement("i-1", "app", 7.0, age_s=0.2)
    limited.limits.hear([newer], "peer")
    assert limited.rate_per_s() == 7
    [reported] = limited.limits.statements()
    assert reported.age_s == pytest.approx(0.2)


def test_host_applies_a_limit_reported_by_a_peer():
    """The host that learns of a limit last must not send at its previous rate."""
    limited = Limited()
    limited.limits.hear([LimitStatement("i-1", "app", 2.0, age_s=0.1)], "peer")
    assert 1 <= limited.sent_count(50, for_s=4) <= 17


def test_rate_rises_gradually_when_a_limit_ends():
    """A server that has just recovered is overloaded again.

    It states no limit any more, and all hosts send to it at once.
    """
    limited = Limited(4)
    limited.sent_count(100, for_s=1.5)
    limited.answer(None)
    first, second, third = (limited.sent_count(100, for_s=0.5) for _ in range(3))
    assert first <= 4
    assert first < second < third < 40
    limited.sent_count(100, for_s=1.5)
    assert limited.sent_count(100, for_s=1.0) == 100


def test_answers_after_the_end_of_a_limit_do_not_restart_the_recovery():
    """Three of four servers stayed at 1 to 3 requests a second after their limits.

    Each answer without a limit was treated as the end of the limit, from which on the
    rate of a target doubles step by step, so the rate never got beyond the first step.
    At 43 s callers were refused for limits that had ended at 36 s.
    """
    limited = Limited(3)
    limited.sent_count(50, for_s=1.0)
    for _ in range(5):
        limited.answer(None)
        limited.limits.hear([LimitStatement("i-1", "app", None, age_s=0.0)], "peer")
        limited.sent_count(50, for_s=1.0)
    assert limited.sent_count(50, for_s=1.0) == 50


@pytest.mark.parametrize("turn", [0, 2])
def test_target_with_zero_limit_is_tested_by_one_host_at_a_time(turn):
    """A server that stated a limit of 0 never got a request again, or one of each host.

    No answer arrives that could end the limit.
    """
    limited = Limited(0)
    limited.peers.turn = turn
    wait_s = SETTINGS.test_wait_s * (1 + turn)
    assert limited.sent_count(20, for_s=wait_s - 0.1) == 0
    assert limited.sent_count(20, for_s=0.2) == 1
    assert limited.sent_count(20, for_s=wait_s - 0.2) == 0
    limited.answer(None)
    limited.sent_count(20, for_s=4)
    assert limited.sent_count(20, for_s=1.0) == 20


def test_surge_at_one_host_does_not_exceed_the_limit():
    """A server got ten times its limit for a second.

    The request rate rises tenfold, and its average follows only within seconds.
    """
    limited = Limited(20)
    limited.sent_count(4, for_s=6)
    limited.answer(20)
    assert limited.sent_count(200, for_s=4) <= 125


def test_urgent_requests_are_sent_despite_excess_demand():
    """Urgent requests are refused in favour of requests that can wait.

    Callers send four times the limit of a server; a fifth of the requests is urgent,
    which is less than the limit.
    """
    limited = Limited(10)
    limits, served = limited.limits, {0: 0, 5: 0}
    for number in range(400):
        limited.clock.advance(1 / 40)
        priority = 0 if number % 5 == 0 else 5
        limits.note_asked("app", priority)
        if limits.admitted([TARGET], "app", priority):
            limits.note_sent("i-1")
            served[priority] += 1
        if number % 40 == 0:
            limited.answer(10)
    assert served[0] >= 0.9 * 80
    assert served[0] + served[5] >= 0.8 * 10 * 10


def test_expired_priority_reserves_nothing():
    """Part of a limit stays reserved for a priority that no caller uses any more."""
    limited = Limited(10)
    limited.limits.note_asked("app", 0)
    limited.clock.advance(SETTINGS.urgent_memory_s + 0.1)
    limited.answer(10)
    limited.limits.note_asked("app", 5)
    assert limited.limits._top_priority.is_top("app", 5)
    assert not limited.limits._top_priority.is_top("app", 6)


def test_refused_callers_get_consecutive_retry_times():
    """All refused callers retry at the same time.

    Retry times are as far apart as the limit admits requests; a caller that could not
    be served within its wait gets a random time.
    """
    limited = Limited(10)
    limited.sent_count(50, for_s=2)
    retry_s = [limited.limits.come_back_after_s("app", 1.0) for _ in range(20)]
    assert retry_s[0] < retry_s[1] < retry_s[2] < 1.0
    assert retry_s[1] - retry_s[0] == pytest.approx(retry_s[0], rel=0.01)
    assert all(0.5 <= one <= 1.0 for one in retry_s[10:])
    assert len(set(retry_s)) == len(retry_s)


def test_zero_limit_gives_the_longest_retry_time():
    """A caller of a server with a limit of 0 retries as late as it can."""
    limited = Limited(0)
    limited.limits.note_asked("app", 1)
    assert limited.limits.come_back_after_s("app", 1.5) == 1.5


def test_unreadable_limit_is_none_and_logged_once(caplog):
    """A malformed header must neither limit a target nor fill the log."""
    limited = Limited()
    with caplog.at_level("INFO", logger="siskinthread"):
        for _ in range(3):
            unreadable = StatedLimit(unreadable="x" * 500)
            limited.limits.note_answer(TARGET, 0.0, unreadable)
    assert limited.rate_per_s() is None
    [line] = [one for one in caplog.records if "unreadable" in one.getMessage()]
    assert len(line.event_fields["text"]) <= 80


def test_target_that_is_gone_is_forgotten():
    """Another server may get its address, but not its limit."""
    limited = Limited(0)
    limited.limits.forget("i-1")
    assert limited.limits.admitted([TARGET], "app", 1)
    assert limited.limits.statements() == []


def test_hosts_do_not_keep_a_limit_alive_by_exchanging_it():
    """Limits of targets that are gone are reported for ever.

    A host that has forgotten the limit of a vanished target receives it from a peer
    that has not, and reports it again, without any answer of the target.
    """
    first, second = Limited(2), Limited()
    first.limits.forget("i-1")
    second.answer(2)
    for _ in range(round(SETTINGS.memory_s) + 1):
        first.limits.hear(second.limits.statements(), "second")
        second.limits.hear(first.limits.statements(), "first")
        first.clock.advance(1.0)
        second.clock.advance(1.0)
    assert first.limits.statements() == second.limits.statements() == []
    assert first.limits.asked_rates() == {}
    first.limits.hear([LimitStatement("i-1", "app", 2.0, age_s=1e6)], "second")
    assert first.limits.statements() == []


def test_number_of_limits_is_bounded():
    """The state does not grow with the number of targets ever seen."""
    settings = TargetLimitSettings(targets_limit=3)
    limits = TargetLimits(settings, clock(), random.Random(1))
    for number in range(5):
        limits.note_answer(entry(f"i-{number}"), 0.0, StatedLimit(1.0))
    assert len(limits.statements()) == 3
