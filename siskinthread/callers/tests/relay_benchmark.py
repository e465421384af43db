"""Measure the processor time per relayed token of the HTTP front end.

Run the server and the callers as two processes::

    python -m siskinthread.callers.tests.relay_benchmark server 7201 5120 10
    python -m siskinthread.callers.tests.relay_benchmark callers 7201

The arguments of the server are its port, the total rate of all streams in tokens per
second, the duration in seconds and optionally ``profile``.  The server prints the share
of a core and the processor time per token in microseconds, first for the fake
dispatcher alone and then with the relay; the difference is the cost of the front end.
"""

import cProfile
import pstats
import selectors
import socket as standard_socket
import sys
import time

import curio

from siskinthread.callers import CallerServer, CallerSettings
from siskinthread.callers.tests.fakes import (
    chat_body,
    event_stream_head,
    FakeAdmission,
    FakeDispatcher,
    FakeState,
    request_bytes,
)
from siskinthread.configuration import ConfigurationView
from siskinthread.observability import Metrics
from siskinthread.outcomes import Part
from siskinthread.timing import SYSTEM_CLOCK

STREAMS = 400
TICK_S = 0.01
MICROSECONDS = 1_000_000
TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"token"}}]}\n\n' * 2


class Feed:
    """Puts tokens into answers round robin at a given rate."""

    def __init__(self, answers, tokens_per_s):
        self._answers = answers
        self._tokens_per_s = tokens_per_s
        self.count = 0

    async def run(self):
        """Feed until cancelled; after a pause, catch up with the rate."""
        part = Part(0, TOKEN)
        start_s = time.monotonic()
        while True:
            wanted = int((time.monotonic() - start_s) * self._tokens_per_s)
            for number in range(self.count, wanted):
                await self._answers[number % STREAMS].events.put(part)
            self.count = wanted
            await curio.sleep(TICK_S)


async def measure(label, answers, tokens_per_s, wait_s, profile=None):
    """Feed answers for `wait_s` seconds and print the processor time used."""
    feed = Feed(answers, tokens_per_s)
    task = await curio.spawn(feed.run)
    await curio.sleep(1.0)
    count, cpu_s, at_s = feed.count, time.process_time(), time.monotonic()
    if profile is not None:
        profile.enable()
    await curio.sleep(wait_s)
    if profile is not None:
        profile.disable()
    count, cpu_s = feed.count - count, time.process_time() - cpu_s
    at_s = time.monotonic() - at_s
    await task.cancel()
    print(
        f"{label}: {count / at_s:.0f} tokens/s, {100 * cpu_s / at_s:.1f} % of a core, "
        f"{MICROSECONDS * cpu_s / count:.1f} us a token",
        flush=True,
    )


async def consume(answer):
    """Read and discard events."""
    while True:
        await answer.next_event()


async def serve(port, tokens_per_s, wait_s, profiles):
    """Measure the fake dispatcher alone, then with the front end."""
    dispatcher = FakeDispatcher(lambda request: [event_stream_head()])
    answers = [await dispatcher.begin(None) for _ in range(STREAMS)]
    consumers = [await curio.spawn(consume, answer) for answer in answers]
    await measure("dispatcher alone", answers, tokens_per_s, wait_s)
    for task in consumers:
        await task.cancel()
    dispatcher = FakeDispatcher(lambda request: [event_stream_head()])
    view = ConfigurationView()
    view.advance(FakeState())
    server = CallerServer(
        CallerSettings(), view, dispatcher, FakeAdmission(), SYSTEM_CLOCK, Metrics()
    )
    listening = curio.tcp_server_socket("127.0.0.1", port, backlog=STREAMS)
    task = await curio.spawn(server.run, listening)
    answers = [await dispatcher.begun.get() for _ in range(STREAMS)]
    profile = cProfile.Profile() if profiles else None
    await measure("with callers", answers, tokens_per_s, wait_s, profile)
    await task.cancel()
    if profile is not None:
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)


def read_streams(port):
    """Open the streams and read until the server closes them."""
    selector = selectors.DefaultSelector()
    request = request_bytes("POST", "/v1/chat/completions", chat_body())
    for _ in range(STREAMS):
        client = standard_socket.create_connection(("127.0.0.1", port))
        client.sendall(request)
        selector.register(client, selectors.EVENT_READ)
    left = STREAMS
    while left:
        for key, _ in selector.select():
            if not key.fileobj.recv(65_536):
                selector.unregister(key.fileobj)
                left -= 1


if __name__ == "__main__":
    if sys.argv[1] == "server":
        rate, seconds = float(sys.argv[3]), float(sys.argv[4])
        curio.run(serve, int(sys.argv[2]), rate, seconds, "profile" in sys.argv)
    else:
        read_streams(int(sys.argv[2]))
