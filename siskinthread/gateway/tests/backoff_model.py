"""A model of entries before targets that request back-off, under a simulated clock.

``python -m siskinthread.gateway.tests.backoff_model --seeds 1000`` prints for each
number of entries, and for entries that tell one another of back-offs or don't, how
often a target got too much in one, how much was served and how many tries that took.
"""

import argparse
import heapq
import itertools
import logging
import random

from siskinthread.gateway._parts import GatewayParts
from siskinthread.gateway._request import GatewayRequest, RequestFacts
from siskinthread.gateway.tests.parts import entry, SETTINGS
from siskinthread.gateway.tests.test_table import build_route
from siskinthread.observability import Metrics
from siskinthread.outcomes import End
from siskinthread.target_limits import StatedBackoff
from siskinthread.timing import Deadline, ManualClock

RUN_S = 9.0
BACKOFF_S = 3.0
# Arrivals count from so long after the answer, and two are allowed.
BACKOFF_SLACK_S = 0.5
BACKOFF_COUNT = 2
WORK_S = 0.04
# Way of a request or an answer, and how much later some are.
WAY_S = 0.0005
LATE_SHARE = 0.05
LATE_S = 0.3
LOST_SHARE = 0.03
# Opening a connection takes so long at most, for some requests.
OPENING_SHARE = 0.2
OPENING_S = 0.05
NEWS_INTERVAL_S = 0.5
NEWS_LOST_SHARE = 0.1
ATTEMPT_LIMIT = 2
# Entries, targets, and requests a second of each entry.
SIZES = ((2, 4, 10.0), (38, 9, 2.0), (300, 75, 0.5))
BACKOFF_SHARE = 0.25


class Target:
    """A target that requests back-off, or serves.

    Parameters
    ----------
    listed : TargetEntry
        Its entry.
    asks_s : float
        Until when it turns requests away, seconds from the begin.
    """

    def __init__(self, listed, asks_s):
        self.listed = listed
        self.asks_s = asks_s
        self.arrivals = []
        self.asked = []

    def most_in_a_backoff(self):
        """Return the most requests of one entry in a back-off asked of it."""
        by_sender = {}
        for sender, at_s in self.arrivals:
            by_sender.setdefault(sender, []).append(at_s)
        return max(
            (
                sum(
                    asked_s + BACKOFF_SLACK_S < at_s < asked_s + BACKOFF_S
                    for at_s in by_sender[sender]
                )
                for sender, asked_s in self.asked
            ),
            default=0,
        )


class _Call:
    """A request of a caller at an entry."""

    __slots__ = ("request", "sender", "tried")

    def __init__(self, sender, request):
        self.sender = sender
        self.request = request
        self.tried = []


class Run:
    """One run of the model.

    Parameters
    ----------
    size : tuple of int, int, float
        One of `SIZES`.
    seed : int
        Of everything that is drawn.
    tell : bool
        Whether entries tell one another of back-offs.
    asks_s : float
        Until when a part of the targets turns requests away.
    backoff_share : float
        That part.

    Attributes
    ----------
    asked_count, served_count, try_count : int
        Requests of callers, those that were served, and tries that reached a target.
    """

    def __init__(
        self, size, seed, tell=True, asks_s=RUN_S, backoff_share=BACKOFF_SHARE
    ):
        entry_count, target_count, self._rate_per_s = size
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._began_at_s = self._clock.monotonic_s()
        self._tell = tell
        listed = [entry(f"i-{number}") for number in range(target_count)]
        backed_off_count = max(1, round(backoff_share * target_count))
        self.targets = {
            one.instance_id: Target(one, asks_s if number < backed_off_count else 0.0)
            for number, one in enumerate(listed)
        }
        self._senders = []
        for number in range(entry_count):
            drawn = random.Random(seed * 1000 + number)
            parts = GatewayParts(SETTINGS, "a", None, self._clock, Metrics(), drawn)
            parts.targets.replace(listed)
            self._senders.append(parts)
        self._orders = itertools.count()
        self._events = []
        self.asked_count = self.served_count = self.try_count = 0

    def play(self):
        """Play the run; return the most requests that a target got in a back-off."""
        self._at(0.0, self._on_request, None)
        self._at(NEWS_INTERVAL_S, self._on_news, None)
        while self._events:
            at_s, _, happen, value = heapq.heappop(self._events)
            step_s = self._began_at_s + at_s - self._clock.monotonic_s()
            self._clock.advance(max(0.0, step_s))
            happen(at_s, value)
        return max(target.most_in_a_backoff() for target in self.targets.values())

    def _at(self, at_s, happen, value):
        heapq.heappush(self._events, (at_s, next(self._orders), happen, value))

    def _on_request(self, at_s, value):
        if at_s > RUN_S:
            return
        sender = self._random.choice(self._senders)
        request = GatewayRequest(
            None,
            b"",
            RequestFacts("id", None, None),
            build_route("a.example", "/"),
            "app",
            None,
            1,
            Deadline.after(self._clock, 8.0),
        )
        sender.limits.note_asked("app", 1)
        self.asked_count += 1
        self._choose(at_s, _Call(sender, request))
        rate_per_s = self._rate_per_s * len(self._senders)
        self._at(at_s + self._random.expovariate(rate_per_s), self._on_request, None)

    def _choose(self, at_s, call):
        chosen = call.sender.choice.choose(call.request, set(call.tried))
        if isinstance(chosen, End):
            return
        call.tried.append(chosen.instance_id)
        call.sender.loads.started(chosen.instance_id)
        call.sender.backoffs.note_sent(chosen.instance_id)
        opening_s = 0.0
        if self._random.random() < OPENING_SHARE:
            opening_s = self._random.random() * OPENING_S
        self._at(at_s + opening_s, self._on_opened, (call, chosen.instance_id))

    def _on_opened(self, at_s, value):
        call, instance_id = value
        if call.sender.backoffs.is_backed_off(instance_id):
            call.sender.loads.ended(instance_id)
            self._choose(at_s, call)
            return
        sent_at_s = self._clock.monotonic_s()
        arrival = call, instance_id, sent_at_s
        self._at(at_s + self._way_s(), self._on_arrival, arrival)

    def _on_arrival(self, at_s, value):
        call, instance_id, sent_at_s = value
        target = self.targets[instance_id]
        target.arrivals.append((call.sender, at_s))
        self.try_count += 1
        stated = StatedBackoff()
        back_s = at_s + WORK_S
        if at_s < target.asks_s:
            target.asked.append((call.sender, at_s))
            stated = StatedBackoff(BACKOFF_S)
            back_s = at_s
        answer = call, instance_id, sent_at_s, stated
        self._at(back_s + self._way_s(), self._on_answer, answer)

    def _on_answer(self, at_s, value):
        call, instance_id, sent_at_s, stated = value
        sender = call.sender
        sender.loads.ended(instance_id)
        if self._random.random() < LOST_SHARE:
            sender.health.failed(instance_id, "lost")
            self._try_again(at_s, call)
            return
        listed = self.targets[instance_id].listed
        sender.backoffs.note_answer(listed, sent_at_s, stated)
        if stated.wait_s:
            sender.avoided.declined(instance_id)
            self._try_again(at_s, call)
            return
        sender.health.succeeded(instance_id)
        sender.avoided.answered(instance_id)
        self.served_count += 1

    def _try_again(self, at_s, call):
        if len(call.tried) < ATTEMPT_LIMIT:
            self._choose(at_s, call)

    def _on_news(self, at_s, value):
        if at_s > RUN_S or not self._tell:
            return
        told = [(sender, sender.backoffs.statements()) for sender in self._senders]
        told = [(sender, statements) for sender, statements in told if statements]
        for hearer in self._senders:
            for sender, statements in told:
                is_lost = self._random.random() < NEWS_LOST_SHARE
                if sender is not hearer and not is_lost:
                    hearer.avoided.hear(statements, "peer")
        self._at(at_s + NEWS_INTERVAL_S, self._on_news, None)

    def _way_s(self):
        if self._random.random() < LATE_SHARE:
            return WAY_S + self._random.random() * LATE_S
        return WAY_S


def main():
    """Print how each way does."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20, help="runs of each kind")
    parser.add_argument("--entries", type=int, help="only this number of entries")
    options = parser.parse_args()
    logging.disable()
    for size in SIZES:
        if options.entries not in (None, size[0]):
            continue
        for tell in (True, False):
            runs = [Run(size, seed, tell) for seed in range(options.seeds)]
            most = [run.play() for run in runs]
            asked = sum(run.asked_count for run in runs)
            served = sum(run.served_count for run in runs)
            tries = sum(run.try_count for run in runs)
            print(
                f"{size[0]:4} entries, {'told' if tell else 'alone'}: "
                f"{sum(one > BACKOFF_COUNT for one in most)} of {len(most)} broken, "
                f"most {max(most)}; served {served / asked:.4f}, "
                f"{tries / max(1, served):.3f} tries a served request",
                flush=True,
            )


if __name__ == "__main__":
    main()
