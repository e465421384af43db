"""Simulation of hosts whose targets request back-off, under a manual clock.

``python -m siskinthread.gateway.tests.backoff_model --seeds 1000`` prints, for each
number of hosts, with and without exchange of back-offs between hosts, how often a
target got too many requests during a back-off, the share of served requests, and the
number of attempts per served request.
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
# Arrivals count from this time after the answer that requests back-off.
BACKOFF_SLACK_S = 0.5
# Arrivals allowed in one back-off.
BACKOFF_COUNT = 2
SERVICE_TIME_S = 0.04
# Network latency of requests and answers, the share of delayed ones, and their largest
# additional delay.
LATENCY_S = 0.0005
DELAYED_SHARE = 0.05
EXTRA_DELAY_S = 0.3
LOST_SHARE = 0.03
# Share of requests that open a connection, and the longest time that this takes.
CONNECT_SHARE = 0.2
CONNECT_S = 0.05
UPDATE_INTERVAL_S = 0.5
UPDATE_LOST_SHARE = 0.1
ATTEMPT_LIMIT = 2
# Hosts, targets, and requests per second of each host.
SIZES = ((2, 4, 10.0), (38, 9, 2.0), (300, 75, 0.5))
# Share of the targets that request back-off.
BACKOFF_SHARE = 0.25


class Target:
    """A target that first requests back-off and then serves.

    Parameters
    ----------
    listed : TargetEntry
        Its entry in the target list.
    backoff_until_s : float
        Time until which it declines requests, seconds since the start.
    """

    def __init__(self, listed, backoff_until_s):
        self.listed = listed
        self.backoff_until_s = backoff_until_s
        self.arrivals = []
        self.asked = []

    def most_in_backoff(self):
        """Return the largest number of requests of a host during its back-off."""
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
    """A caller's request at a host."""

    __slots__ = ("request", "sender", "tried")

    def __init__(self, sender, request):
        self.sender = sender
        self.request = request
        self.tried = []


class Run:
    """One run of the simulation.

    Parameters
    ----------
    size : tuple of int, int, float
        One of `SIZES`.
    seed : int
        Seed of all random generators.
    shares_backoffs : bool
        Whether hosts exchange the back-offs requested of them.
    backoff_until_s : float
        Time until which some targets decline requests, seconds since the start.
    backoff_share : float
        Share of the targets that do so.

    Attributes
    ----------
    asked_count, served_count, try_count : int
        Number of callers' requests, of served requests, and of attempts that reached a
        target.
    """

    def __init__(
        self,
        size,
        seed,
        shares_backoffs=True,
        backoff_until_s=RUN_S,
        backoff_share=BACKOFF_SHARE,
    ):
        entry_count, target_count, self._rate_per_s = size
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._began_at_s = self._clock.monotonic_s()
        self._shares_backoffs = shares_backoffs
        listed = [entry(f"i-{number}") for number in range(target_count)]
        backed_off_count = max(1, round(backoff_share * target_count))
        self.targets = {
            one.instance_id: Target(
                one, backoff_until_s if number < backed_off_count else 0.0
            )
            for number, one in enumerate(listed)
        }
        self._senders = []
        for number in range(entry_count):
            rng = random.Random(seed * 1000 + number)
            parts = GatewayParts(SETTINGS, "a", None, self._clock, Metrics(), rng)
            parts.targets.replace(listed)
            self._senders.append(parts)
        self._sequence = itertools.count()
        self._events = []
        self.asked_count = self.served_count = self.try_count = 0

    def run(self):
        """Run the simulation.

        Returns
        -------
        int
            Largest number of requests that a target got from a host during a back-off.
        """
        self._at(0.0, self._on_request, None)
        self._at(UPDATE_INTERVAL_S, self._on_update, None)
        while self._events:
            at_s, _, handler, value = heapq.heappop(self._events)
            step_s = self._began_at_s + at_s - self._clock.monotonic_s()
            self._clock.advance(max(0.0, step_s))
            handler(at_s, value)
        return max(target.most_in_backoff() for target in self.targets.values())

    def _at(self, at_s, handler, value):
        heapq.heappush(self._events, (at_s, next(self._sequence), handler, value))

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
        connect_s = 0.0
        if self._random.random() < CONNECT_SHARE:
            connect_s = self._random.random() * CONNECT_S
        self._at(at_s + connect_s, self._on_connected, (call, chosen.instance_id))

    def _on_connected(self, at_s, value):
        call, instance_id = value
        if call.sender.backoffs.is_backed_off(instance_id):
            call.sender.loads.ended(instance_id)
            self._choose(at_s, call)
            return
        sent_at_s = self._clock.monotonic_s()
        arrival = call, instance_id, sent_at_s
        self._at(at_s + self._latency_s(), self._on_arrival, arrival)

    def _on_arrival(self, at_s, value):
        call, instance_id, sent_at_s = value
        target = self.targets[instance_id]
        target.arrivals.append((call.sender, at_s))
        self.try_count += 1
        stated = StatedBackoff()
        answered_at_s = at_s + SERVICE_TIME_S
        if at_s < target.backoff_until_s:
            target.asked.append((call.sender, at_s))
            stated = StatedBackoff(BACKOFF_S)
            answered_at_s = at_s
        answer = call, instance_id, sent_at_s, stated
        self._at(answered_at_s + self._latency_s(), self._on_answer, answer)

    def _on_answer(self, at_s, value):
        call, instance_id, sent_at_s, stated = value
        sender = call.sender
        sender.loads.ended(instance_id)
        if self._random.random() < LOST_SHARE:
            sender.health.failed(instance_id, "lost")
            self._retry(at_s, call)
            return
        listed = self.targets[instance_id].listed
        sender.backoffs.note_answer(listed, sent_at_s, stated)
        if stated.wait_s:
            sender.avoided.declined(instance_id)
            self._retry(at_s, call)
            return
        sender.health.succeeded(instance_id)
        sender.avoided.answered(instance_id)
        self.served_count += 1

    def _retry(self, at_s, call):
        if len(call.tried) < ATTEMPT_LIMIT:
            self._choose(at_s, call)

    def _on_update(self, at_s, value):
        if at_s > RUN_S or not self._shares_backoffs:
            return
        shared = [(sender, sender.backoffs.statements()) for sender in self._senders]
        shared = [(sender, statements) for sender, statements in shared if statements]
        for receiver in self._senders:
            for sender, statements in shared:
                is_lost = self._random.random() < UPDATE_LOST_SHARE
                if sender is not receiver and not is_lost:
                    receiver.avoided.hear(statements, "peer")
        self._at(at_s + UPDATE_INTERVAL_S, self._on_update, None)

    def _latency_s(self):
        if self._random.random() < DELAYED_SHARE:
            return LATENCY_S + self._random.random() * EXTRA_DELAY_S
        return LATENCY_S


def main():
    """Print the results for each number of hosts."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20, help="runs of each kind")
    parser.add_argument("--entries", type=int, help="only this number of entries")
    options = parser.parse_args()
    logging.disable()
    for size in SIZES:
        if options.entries not in (None, size[0]):
            continue
        for shares_backoffs in (True, False):
            runs = [Run(size, seed, shares_backoffs) for seed in range(options.seeds)]
            most = [run.run() for run in runs]
            asked = sum(run.asked_count for run in runs)
            served = sum(run.served_count for run in runs)
            tries = sum(run.try_count for run in runs)
            print(
                f"{size[0]:4} entries, {'told' if shares_backoffs else 'alone'}: "
                f"{sum(one > BACKOFF_COUNT for one in most)} of {len(most)} broken, "
                f"most {max(most)}; served {served / asked:.4f}, "
                f"{tries / max(1, served):.3f} tries a served request",
                flush=True,
            )


if __name__ == "__main__":
    main()
