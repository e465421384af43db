"""Stand-in of a group of ranks that step together on an expert map.

Run it with ``python -m standins.rank_group --ranks 4``.  It prints one line ``listening
HOST:PORT`` with the port of ``GET /counts`` and then one for each rank, in order.  A
rank speaks the protocol of `siskinthread.experts`; ``POST /faults`` at a rank takes
``{"stall": bool, "lose_answers": n}``.

The group makes a step only while no rank is held or stalled.  A step in which ranks
have different maps is counted as mixed: that must never happen.
"""

import argparse
import math
import time

import curio
import numpy as np

from siskinthread.experts import ExpertMap
from standins._http_server import CloseConnection, HttpServer

MILLISECONDS_PER_SECOND = 1000.0
TIME_PER_TOKEN_MS = 0.01


class Rank:
    """Engine of a rank.

    Parameters
    ----------
    index : int
        Index in the group.
    group : Group
        Group that the rank belongs to.
    checks_fencing : bool
        Whether orders with an older fencing and sequence number are refused.
    """

    def __init__(self, index, group, checks_fencing):
        self.index = index
        self.held = False
        self.stalled = False
        self.expert_map = group.first_map
        self.staged = None
        self._group = group
        self._checks_fencing = checks_fencing
        self._highest_number = (-1, -1)
        self._answers_to_lose = 0

    async def handle(self, request, exchange):
        """Answer one request."""
        while self.stalled and request.path != "/faults":
            await curio.sleep(0.02)
        if request.path == "/faults":
            await self._set_faults(request, exchange)
        elif request.path == "/rank":
            number = (int(request.query["fencing"]), int(request.query["sequence"]))
            await self._answer_state(exchange, self._accept(number))
        elif request.path == "/rank/orders":
            await self._execute(request.json(), exchange)
        elif request.path == "/rank/statistics":
            await exchange.answer_json(200, self._statistics())
        else:
            await exchange.answer_json(404, {})

    def _accept(self, number):
        if self._checks_fencing and number < self._highest_number:
            return False
        self._highest_number = max(self._highest_number, number)
        return True

    async def _execute(self, order, exchange):
        accepted = self._accept((order["fencing"], order["sequence"]))
        if accepted:
            self._apply(order)
        if self._answers_to_lose:
            self._answers_to_lose -= 1
            raise CloseConnection
        await self._answer_state(exchange, accepted)

    def _apply(self, order):
        kind = order["kind"]
        if kind == "stage":
            count = self._group.first_map.expert_count
            self.staged = ExpertMap(order["slots"], count, order["version"])
        elif kind == "hold":
            self._group.hold(self)
        elif kind == "switch" and self.staged is not None:
            self.expert_map = self.staged
        elif kind == "release":
            self._group.release(self)

    async def _answer_state(self, exchange, accepted):
        staged_version = None if self.staged is None else self.staged.version
        state = {
            "version": self.expert_map.version,
            "staged_version": staged_version,
            "held": self.held,
        }
        await exchange.answer_json(200 if accepted else 409, state)

    def _statistics(self):
        loads = self._group.last_loads
        own = set(self.expert_map.slots[self.index].tolist())
        counts = self.expert_map.replica_counts
        tokens = [
            round(loads[expert] / counts[expert]) if expert in own else None
            for expert in range(len(loads))
        ]
        load = self.expert_map.rank_loads(loads)[self.index]
        return {
            "expert_tokens": tokens,
            "step_time_ms": float(load * TIME_PER_TOKEN_MS),
            "version": self.expert_map.version,
            "slots": self.expert_map.slots.tolist(),
        }

    async def _set_faults(self, request, exchange):
        faults = request.json()
        self.stalled = bool(faults.get("stall", self.stalled))
        self._answers_to_lose = int(faults.get("lose_answers", self._answers_to_lose))
        await exchange.answer_json(200, {})


class Group:
    """All ranks of a group, which execute every step together.

    Parameters
    ----------
    options : argparse.Namespace
        See `parse_options`.
    """

    def __init__(self, options):
        self._options = options
        self._random = np.random.default_rng(options.seed)
        self._log_popularity = self._random.normal(0, 1, options.experts)
        self._held_since_s = None
        self._counts = {"steps": 0, "mixed_steps": 0, "longest_hold_ms": 0.0}
        self.first_map = ExpertMap.round_robin(
            options.ranks, options.slots, options.experts
        )
        self.last_loads = self._loads()
        self.ranks = [
            Rank(index, self, options.checks_fencing) for index in range(options.ranks)
        ]

    def _loads(self):
        popularity = np.exp(self._log_popularity)
        return popularity / popularity.sum() * self._options.tokens_per_interval

    def hold(self, rank):
        """Hold a rank at the step boundary, which stops the group."""
        rank.held = True
        if self._held_since_s is None:
            self._held_since_s = time.monotonic()

    def release(self, rank):
        """Release a rank; the group steps again when no rank is held."""
        rank.held = False
        if self._held_since_s is None or any(other.held for other in self.ranks):
            return
        held_ms = (time.monotonic() - self._held_since_s) * MILLISECONDS_PER_SECOND
        longest_ms = max(self._counts["longest_hold_ms"], held_ms)
        self._counts["longest_hold_ms"] = longest_ms
        self._held_since_s = None

    async def run(self):
        """Step until cancelled; let the experts' popularity drift every interval."""
        steps_per_interval = math.ceil(
            self._options.interval_s * MILLISECONDS_PER_SECOND / self._options.step_ms
        )
        while True:
            await curio.sleep(self._options.step_ms / MILLISECONDS_PER_SECOND)
            self._step()
            if self._counts["steps"] % steps_per_interval == 0:
                drift = self._random.normal(
                    0, self._options.drift, len(self._log_popularity)
                )
                self._log_popularity += drift
                self.last_loads = self._loads()

    def _step(self):
        if any(rank.held or rank.stalled for rank in self.ranks):
            return
        self._counts["steps"] += 1
        maps = {rank.expert_map.version for rank in self.ranks}
        contents = {rank.expert_map.slots.tobytes() for rank in self.ranks}
        self._counts["mixed_steps"] += max(len(maps), len(contents)) > 1

    async def answer_counts(self, request, exchange):
        """Answer ``GET /counts``."""
        versions = [rank.expert_map.version for rank in self.ranks]
        skew = self.ranks[0].expert_map.skew(self.last_loads)
        held = [rank.held for rank in self.ranks]
        counts = {**self._counts, "versions": versions, "skew": skew, "held": held}
        await exchange.answer_json(200, counts)


async def run_group(options, announce):
    """Serve the group until cancelled.

    Parameters
    ----------
    options : argparse.Namespace
        See `parse_options`.
    announce : callable
        Called with the list of `HttpServer`: that of the group, then those of the
        ranks.
    """
    group = Group(options)
    handlers = [group.answer_counts, *[rank.handle for rank in group.ranks]]
    servers = [HttpServer(handler) for handler in handlers]
    announce(servers)
    async with curio.TaskGroup() as tasks:
        for server in servers:
            await tasks.spawn(server.run)
        await tasks.spawn(group.run)


def parse_options(arguments=None):
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ranks", type=int, default=4, help="ranks")
    parser.add_argument("--experts", type=int, default=12, help="experts of the layer")
    parser.add_argument("--slots", type=int, default=4, help="slots a rank")
    parser.add_argument("--step-ms", type=float, default=5.0, help="step time")
    parser.add_argument("--interval-s", type=float, default=0.5, help="drift interval")
    parser.add_argument("--drift", type=float, default=0.1, help="drift an interval")
    parser.add_argument("--tokens-per-interval", type=float, default=1e5, help="tokens")
    parser.add_argument("--seed", type=int, default=1, help="seed")
    parser.add_argument(
        "--checks-fencing", action="store_true", help="refuse orders with old numbers"
    )
    return parser.parse_args(arguments)


def _print_addresses(servers):
    for server in servers:
        print(f"listening {server.host}:{server.port}", flush=True)


if __name__ == "__main__":
    curio.run(run_group, parse_options(), _print_addresses)
