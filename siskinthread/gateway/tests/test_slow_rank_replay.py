"""Model of a group that runs in lock-step and has one slow rank.

Every pass lasts as long as its slowest rank.  In the model, the experts of the group
are already spread evenly over the other ranks; the slow rank only performs its own part
of each pass, which grows with each request that it runs.
"""

import itertools

import pytest

from siskinthread.gateway.tests.parts import entry
from siskinthread.gateway.tests.test_target_choice import Parts

RANKS = 16
SLOW = "i-0"
# Published parameters of an engine: time of a pass without requests, and additional
# time per request, seconds.
FIXED_S, REQUEST_S = 0.034, 0.0061
EXPERT_SHARE = 0.85
# Time to read a prompt of 900 tokens, seconds.
READ_S = 0.012
PASS_LIMIT_S = 0.12
STREAM_PASSES = 23
# Uses 0.7 of the slots while passes are in time.
ARRIVALS_PER_S = 28.0
NOTIFIED_AFTER_S = 0.5
# A pass that is running when entries are notified lasts up to half a second.
SETTLED_AFTER_S = 1.0
DURATION_S = 8.0


class Replay:
    """A group under steady load; optionally entries are notified, and streams move."""

    def __init__(self, slowness, is_notified, moves):
        self._slowness = slowness
        self._parts = Parts(*(entry(f"i-{rank}") for rank in range(RANKS)))
        self._is_notified = is_notified
        self._moves = moves
        # Target and remaining passes of each stream.
        self._streams = []
        # Streams whose prompts are read in the next pass.
        self._unread = []

    def late_passes(self):
        """Return the number of late passes after entries could have reacted."""
        now_s, next_arrival_s, late_count = 0.0, 0.0, 0
        while now_s < DURATION_S:
            while next_arrival_s <= now_s:
                next_arrival_s += 1 / ARRIVALS_PER_S
                self._place(STREAM_PASSES)
            if self._is_notified and now_s >= NOTIFIED_AFTER_S:
                self._parts.slow_targets.note("g", [SLOW])
                if self._moves:
                    self._move()
            pass_s = self._run_pass()
            self._parts.clock.advance(pass_s)
            now_s += pass_s
            late_count += now_s > SETTLED_AFTER_S and pass_s > PASS_LIMIT_S
        return late_count

    def _place(self, passes_left):
        target = self._parts.choose()
        if isinstance(target, str):
            self._parts.loads.started(target)
            self._streams.append([target, passes_left])
            self._unread.append(target)

    def _move(self):
        leaving = [one for one in self._streams if one[0] == SLOW]
        for stream in leaving:
            self._end(stream)
            self._place(stream[1])

    def _end(self, stream):
        self._streams.remove(stream)
        self._parts.loads.ended(stream[0])

    def _run_pass(self):
        running = [one[0] for one in self._streams]
        mean = len(running) / RANKS
        experts_s = EXPERT_SHARE * (FIXED_S + REQUEST_S * mean)
        own_s = max(self._own_part_s(f"i-{n}", running) for n in range(RANKS))
        self._unread.clear()
        for stream in list(self._streams):
            stream[1] -= 1
            if not stream[1]:
                self._end(stream)
        return own_s + experts_s

    def _own_part_s(self, target, running):
        work_s = FIXED_S + REQUEST_S * running.count(target)
        work_s = (1 - EXPERT_SHARE) * work_s + READ_S * self._unread.count(target)
        return work_s * (self._slowness if target == SLOW else 1.0)


def late_passes(slowness):
    """Return late passes by whether entries are notified, and whether streams move."""
    return {
        (is_notified, moves): Replay(slowness, is_notified, moves).late_passes()
        for is_notified, moves in itertools.product((False, True), repeat=2)
    }


@pytest.mark.parametrize("slowness", [4.0, 6.0, 8.0, 12.0])
def test_slow_rank_without_requests_delays_no_stream(slowness):
    """Guards against late streams of a whole group while one rank is slow.

    A rank becomes several times slower; it still gets its share of the requests, and
    reads their prompts as slowly.  Entries that are notified after half a second send
    it no requests, and move its streams to other ranks.
    """
    late = late_passes(slowness)
    assert late[False, False] > 5
    assert late[True, True] == 0


def test_streams_of_a_very_slow_rank_must_move():
    """Guards against late passes for seconds although the slow rank gets no requests.

    Its streams end late, since each of their passes is long.
    """
    late = late_passes(12.0)
    assert late[True, False] > 5
    assert late[True, True] == 0
