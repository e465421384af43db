"""Stand-in of a model engine.

Run it with ``python -m standins.engine --port 0``.  In addition to the engine's
protocol (docs/protocol.md) it answers ``GET /ledger`` and ``GET /counts``, and accepts
``POST /faults`` with ``stall`` (bool) and ``step_ms``.
"""

import argparse
import collections
import time
import uuid

from standins._batching import Batcher, Run
from standins._http_server import add_server_options, run_standin
from standins._ledger import Ledger
from standins._prefix_cache import prefix_key, PrefixCache

MILLISECONDS_PER_SECOND = 1000
REQUESTS_PREFIX = "/v1/requests/"
COMPLETIONS_PATH = "/v1/chat/completions"
LOWEST_PRIORITY = 1000


class LoadSample:
    """Load of the engine, with the monotonic time at which it was sampled."""

    __slots__ = ("running", "taken_at_s", "waiting")

    def __init__(self, batcher):
        self.running = len(batcher.running)
        self.waiting = batcher.waiting_count
        self.taken_at_s = time.monotonic()


class EngineStandin:
    """Engine that generates tokens in batches.

    Parameters
    ----------
    options : argparse.Namespace
        See `add_options`.
    """

    __slots__ = (
        "_batcher",
        "_cache",
        "_fencing",
        "_ledger",
        "_load",
        "_options",
        "_orders",
        "_runs",
    )

    def __init__(self, options):
        self._options = options
        self._ledger = Ledger()
        self._batcher = Batcher(options, self._ledger)
        self._cache = PrefixCache(options)
        self._load = LoadSample(self._batcher)
        self._runs = collections.OrderedDict()
        self._fencing = -1
        self._orders = []

    async def run(self):
        """Generate tokens until cancelled."""
        await self._batcher.run()

    async def handle(self, request, exchange):
        """Answer one request."""
        if request.path == COMPLETIONS_PATH:
            await self._complete(request, exchange)
        elif request.path.startswith(REQUESTS_PREFIX):
            await self._handle_known(request, exchange)
        elif request.path == "/load":
            await exchange.answer_json(200, self._load_report())
        elif request.path == "/cache_events":
            events = self._cache.events(int(request.query.get("from", 0)))
            await exchange.answer_json(200, {"events": events})
        elif request.path == "/orders":
            await self._handle_orders(request, exchange)
        elif request.path == "/ledger":
            await exchange.answer_json(200, self._ledger.as_json())
        elif request.path == "/counts":
            await exchange.answer_json(200, self._counts())
        elif request.path == "/faults":
            self._set_faults(request.json())
            await exchange.answer_json(200, {})
        else:
            await exchange.answer_json(404, {"error": "no such path"})

    async def _complete(self, request, exchange):
        headers = request.headers
        content = request.json()
        run = Run(
            headers.get("x-request-id", uuid.uuid4().hex),
            content,
            int(headers.get("x-priority", LOWEST_PRIORITY)),
            headers.get("idempotency-key"),
        )
        self._cache.touch(prefix_key(content))
        self._remember(run)
        await self._batcher.add(run)
        await _send_body(run, 0, exchange)

    async def _handle_known(self, request, exchange):
        run = self._runs.get(request.path.removeprefix(REQUESTS_PREFIX))
        if run is None:
            await exchange.answer_json(404, {"error": "unknown request"})
        elif request.method == "DELETE":
            await self._batcher.cancel(run)
            await exchange.answer_json(200, {})
        else:
            offset_bytes = int(request.query.get("offset", 0))
            await _send_body(run, offset_bytes, exchange)

    async def _handle_orders(self, request, exchange):
        if request.method == "GET":
            await exchange.answer_json(200, self._orders)
            return
        order = request.json()
        if self._options.checks_fencing and order["fencing"] < self._fencing:
            await exchange.answer_json(409, {"error": "old fencing number"})
            return
        self._fencing = max(self._fencing, order["fencing"])
        self._orders.append(order)
        await exchange.answer_json(200, {})

    def _remember(self, run):
        self._runs[run.request_id] = run
        while len(self._runs) > self._options.requests_kept:
            self._runs.popitem(last=False)

    def _load_report(self):
        age_s = time.monotonic() - self._load.taken_at_s
        if age_s >= self._options.load_lag_s:
            self._load = LoadSample(self._batcher)
            age_s = 0.0
        return {
            "running": self._load.running,
            "waiting": self._load.waiting,
            "capacity": self._batcher.batch_capacity,
            "age_ms": int(age_s * MILLISECONDS_PER_SECOND),
        }

    def _counts(self):
        return {
            "steps": self._batcher.steps,
            "tokens": self._batcher.tokens,
            "cache_hits": self._cache.hits,
        }

    def _set_faults(self, faults):
        self._batcher.stalled = faults.get("stall", self._batcher.stalled)
        self._batcher.step_ms = faults.get("step_ms", self._batcher.step_ms)


async def _send_body(run, offset_bytes, exchange):
    if run.streamed:
        await _send_streamed(run, offset_bytes, exchange)
    else:
        await _send_whole(run, offset_bytes, exchange)


async def _send_streamed(run, offset_bytes, exchange):
    await exchange.begin_stream(200, "text/event-stream")
    sent = offset_bytes
    while True:
        # If the reader is slow or the process is busy, several tokens have accumulated
        # here and are sent in one write; one write per token would double the cost
        # of a token.
        run.changed.clear()
        if sent < len(run.body):
            data = bytes(run.body[sent:])
            sent += len(data)
            await exchange.send_part(data)
            continue
        if run.finished or run.cancelled:
            break
        await run.changed.wait()
    if run.finished:
        await exchange.end_stream()


async def _send_whole(run, offset_bytes, exchange):
    while not (run.finished or run.cancelled):
        run.changed.clear()
        await run.changed.wait()
    if run.finished:
        await exchange.answer(200, bytes(run.body[offset_bytes:]))
    else:
        await exchange.answer_json(499, {"error": "cancelled"})


def add_options(parser):
    """Add the engine's own options to an argument parser."""
    add = parser.add_argument
    add("--step-ms", type=float, default=5.0, help="time of one step")
    add("--batch-capacity", type=int, default=64, help="requests run at once")
    add("--load-lag-s", type=float, default=0.5, help="age that a load report reaches")
    add("--requests-kept", type=int, default=5000, help="requests kept for resuming")
    add("--cache-size", type=int, default=64, help="prefixes kept in the cache")
    add("--cache-lag-s", type=float, default=0.5, help="lateness of cache events")
    add("--cache-loss", type=float, default=0.02, help="share of cache events lost")
    add("--cache-events-kept", type=int, default=1000, help="cache events kept")
    add("--checks-fencing", action="store_true", help="refuse old fencing numbers")
    add("--seed", type=int, default=1, help="seed of the lost cache events")


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="stand-in of a model engine")
    add_server_options(parser)
    add_options(parser)
    options = parser.parse_args()
    engine = EngineStandin(options)
    run_standin(engine.handle, options, engine.run)


if __name__ == "__main__":
    main()
