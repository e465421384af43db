"""A model of hosts that share the rate limit of one target, under a simulated clock.

``python -m siskinthread.target_limits.tests.model --seeds 1000`` prints for each number
of hosts and each strategy how often the limit was exceeded and how much of it was
used; with ``--trouble`` for hosts that join or are cut off from each other.
"""

import argparse
import heapq
import logging
import random

from siskinthread.gateway.tests.parts import entry
from siskinthread.target_limits import StatedLimit, TargetLimits, TargetLimitSettings
from siskinthread.timing import ManualClock

SETTINGS = TargetLimitSettings()
TARGET = entry("i-1")
DOMAIN_COUNT = 5
# Interval of the reports of a domain, and the shares of lost and delayed reports.
REPORT_INTERVAL_S = 1.0
LOST_SHARE = 0.1
LATE_SHARE = 0.1
# How long a report of a domain counts.
REPORT_VALID_S = 1.5
# How long the last report of a silent domain counts, until its hosts are forgotten.
REPORT_KEPT_S = 20.0
ANSWER_S = 0.02
SETTLED_S = 3.0
RUN_S = 23.0


class ModelPeers:
    """What one host knows of the others."""

    def __init__(self, turn, clock):
        self._asked = {}
        self._turn = turn
        self._clock = clock

    def hear(self, domain, rate_per_s):
        """Store the request rate of the other hosts of a domain."""
        self._asked[domain] = rate_per_s, self._clock.monotonic_s()

    def asked_per_s(self, service_name):
        """Return the request rate of the other hosts."""
        oldest_s = self._clock.monotonic_s() - REPORT_VALID_S
        return sum(rate for rate, at_s in self._asked.values() if at_s >= oldest_s)

    def silent_asked_per_s(self, service_name):
        """Return the last request rate of domains that have fallen silent."""
        now_s = self._clock.monotonic_s()
        return sum(
            rate
            for rate, at_s in self._asked.values()
            if REPORT_VALID_S < now_s - at_s <= REPORT_KEPT_S
        )

    def rendezvous_position(self, name):
        """Return the number of hosts before this one."""
        return self._turn


class ByDemand:
    """A host that shares the limit in proportion to the request rates of all hosts."""

    def __init__(self, clock, seed, turn, count):
        self.peers = ModelPeers(turn, clock)
        self.limits = TargetLimits(SETTINGS, clock, random.Random(seed))
        self.limits.peers = self.peers

    def takes(self):
        """Return whether another request of a caller is sent to the target."""
        self.limits.note_asked(TARGET.service_name, 1)
        if not self.limits.admitted([TARGET], "app", 1):
            return False
        self.limits.note_sent(TARGET.instance_id)
        return True


class EqualShare:
    """A host that uses an equal share of the limit."""

    def __init__(self, clock, seed, turn, count):
        self.peers = ModelPeers(turn, clock)
        self.limits = TargetLimits(SETTINGS, clock, random.Random(seed))
        self.limits.peers = self.peers
        self._clock = clock
        self._count = count
        self._credit_count = 0.0
        self._earned_at_s = clock.monotonic_s()

    def takes(self):
        """Return whether another request of a caller is sent to the target."""
        self.limits.note_asked(TARGET.service_name, 1)
        known = self.limits.statements()
        if not known:
            return True
        now_s = self._clock.monotonic_s()
        share_per_s = SETTINGS.used_share * known[0].rate_per_s / self._count
        earned = (now_s - self._earned_at_s) * share_per_s
        self._credit_count = min(1.0, self._credit_count + earned)
        self._earned_at_s = now_s
        if self._credit_count < 1:
            return False
        self._credit_count -= 1
        return True


class Run:
    """One run of the model.

    Parameters
    ----------
    strategy : type
        `ByDemand` or `EqualShare`.
    host_count : int
        Number of hosts.
    limit_per_s, asked_per_s : float
        The target's limit, and the request rate of the callers of all hosts.
    seed : int
        Seed of all random values.
    is_even : bool
        Whether callers use all hosts equally, or only the first one.
    joining_share : float
        Share of the hosts that start in the middle of the run, without any state.
    cut_span_s : tuple of float, float, optional
        When the first domain and the others don't receive each other's reports; all
        of them reach the target.
    """

    def __init__(
        self,
        strategy,
        host_count,
        limit_per_s,
        asked_per_s,
        seed,
        is_even=True,
        joining_share=0.0,
        cut_span_s=(0.0, 0.0),
    ):
        self._present_count = round(host_count * (1 - joining_share))
        self._cut_span_s = cut_span_s
        self._random = random.Random(seed)
        self._clock = ManualClock()
        self._began_at_s = self._clock.monotonic_s()
        self._limit_per_s = limit_per_s
        self._asked_per_s = asked_per_s
        self._is_even = is_even
        self.hosts = [
            strategy(self._clock, seed * 1000 + number, number, host_count)
            for number in range(host_count)
        ]
        self.sent_s = []

    def play(self):
        """Run the model; return the most requests of a window, and the mean rate."""
        # Time, sequence number for equal times, kind and argument of each event.
        events = [(0.0, 0, "news", None), (0.0, 1, "request", None)]
        order = 2
        while events:
            at_s, _, kind, value = heapq.heappop(events)
            if at_s > RUN_S:
                break
            self._advance_to(at_s)
            for event in getattr(self, f"_on_{kind}")(at_s, value):
                order += 1
                heapq.heappush(events, (event[0], order, *event[1:]))
        settled = [at_s for at_s in self.sent_s if at_s >= SETTLED_S]
        return most_within(settled, SETTINGS.window_s), len(settled) / (
            RUN_S - SETTLED_S
        )

    def _advance_to(self, at_s):
        self._clock.advance(self._began_at_s + at_s - self._clock.monotonic_s())

    def _on_request(self, at_s, value):
        if at_s > RUN_S / 2:
            self._present_count = len(self.hosts)
        number = self._random.randrange(self._present_count) if self._is_even else 0
        sender = self.hosts[number]
        if sender.takes():
            self.sent_s.append(at_s)
            sent_at_s = self._clock.monotonic_s()
            yield at_s + ANSWER_S, "answer", (sender, sent_at_s)
        yield at_s + self._random.expovariate(self._asked_per_s), "request", None

    def _on_answer(self, at_s, value):
        sender, sent_at_s = value
        stated = StatedLimit(self._limit_per_s)
        sender.limits.note_answer(TARGET, sent_at_s, stated)
        return ()

    def _on_news(self, at_s, value):
        """Report each domain's request rates and newest statement to all hosts."""
        present = self.hosts[: self._present_count]
        domains = [present[n::DOMAIN_COUNT] for n in range(DOMAIN_COUNT)]
        domains = [domain for domain in domains if domain]
        for number, domain in enumerate(domains):
            rates_by_service = [sender.limits.asked_rates() for sender in domain]
            rates = [one.get(TARGET.service_name, 0.0) for one in rates_by_service]
            statements = [
                statement for one in domain for statement in one.limits.statements()
            ]
            newest = min(
                statements, key=lambda statement: statement.age_s, default=None
            )
            late_s = 0.0
            if self._random.random() < LATE_SHARE:
                late_s = self._random.random() * REPORT_INTERVAL_S
            yield at_s + late_s, "word", (number, domain, rates, newest)
        yield at_s + REPORT_INTERVAL_S, "news", None

    def _on_word(self, at_s, value):
        number, domain, rates, newest = value
        total_per_s = sum(rates)
        own = dict(zip(map(id, domain), rates, strict=True))
        for place, receiver in enumerate(self.hosts[: self._present_count]):
            if self._random.random() < LOST_SHARE:
                continue
            if self._is_cut(at_s) and (number == 0) != (place % DOMAIN_COUNT == 0):
                continue
            own_per_s = own.get(id(receiver), 0.0)
            receiver.peers.hear(number, total_per_s - own_per_s)
            if newest is not None:
                receiver.limits.hear([newest], "peer")
        return ()

    def _is_cut(self, at_s):
        from_s, until_s = self._cut_span_s
        return from_s <= at_s < until_s


def most_within(times_s, window_s):
    """Return the largest number of times in any window."""
    most = first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed_count(limit_per_s):
    """Return the largest allowed number of requests in a window."""
    return SETTINGS.excess_ratio * limit_per_s * SETTINGS.window_s + (
        SETTINGS.excess_count
    )


def main():
    """Print the results of each strategy."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=100, help="runs of each kind")
    parser.add_argument("--trouble", action="store_true", help="joins and cuts instead")
    options = parser.parse_args()
    logging.disable()
    if options.trouble:
        _print_trouble(options.seeds)
        return
    for host_count in (2, 38, 300):
        for limit_per_s in (2.0, 20.0):
            for is_even in (True, False):
                for strategy in (ByDemand, EqualShare):
                    played = [
                        Run(
                            strategy,
                            host_count,
                            limit_per_s,
                            2 * limit_per_s,
                            seed,
                            is_even,
                        ).play()
                        for seed in range(options.seeds)
                    ]
                    most = [one for one, _ in played]
                    used = sum(rate for _, rate in played) / len(played) / limit_per_s
                    allowed = allowed_count(limit_per_s)
                    print(
                        f"{host_count:4} hosts, {limit_per_s:4.0f} a second, "
                        f"{'even' if is_even else 'one '}, {strategy.__name__:10}: "
                        f"{sum(one > allowed for one in most)} of {len(most)} "
                        f"exceeded, most {max(most)} of {allowed:.0f}, used {used:.2f}",
                        flush=True,
                    )


def _print_trouble(seed_count):
    """Print the results for hosts that join, or are cut off from each other."""
    troubles = {"joins": {"joining_share": 0.3}, "cut": {"cut_span_s": (8.0, 16.0)}}
    for host_count in (2, 38, 300):
        for limit_per_s in (2.0, 20.0):
            for name, trouble in troubles.items():
                asked_per_s = 2 * limit_per_s
                most = [
                    Run(
                        ByDemand, host_count, limit_per_s, asked_per_s, seed, **trouble
                    ).play()[0]
                    for seed in range(seed_count)
                ]
                allowed = allowed_count(limit_per_s)
                print(
                    f"{host_count:4} hosts, {limit_per_s:4.0f} a second, {name}: "
                    f"{sum(one > allowed for one in most)} of {len(most)} exceeded, "
                    f"most {max(most)} of {allowed:.0f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
