"""Measures the CPU time that the links need for each relayed token.

Run the two sides as two processes::

    python -m siskinthread.links.tests.relay_benchmark agents 7101 5120
    python -m siskinthread.links.tests.relay_benchmark entry 7101 10

The first argument is the first port; each agent has its own.  The second is the rate in
tokens per second over all streams, or the seconds to measure.  The entry prints tokens
per second, the share of a core, and microseconds of CPU time per token.
"""

import contextlib
import cProfile
import os
import pstats
import sys
import time

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.links import AgentLinks
from siskinthread.links.tests.fake_agent import peer_settings, start_request
from siskinthread.outcomes import Part
from siskinthread.settings import Address
from siskinthread.timing import Deadline, SYSTEM_CLOCK
from siskinthread.wire import (
    Channel,
    Frame,
    Heartbeat,
    Identity,
    ResponseHead,
    ResponsePart,
    shake_hands,
)

AGENTS = 16
CONNECT_LIMIT_S = 10
STREAMS_PER_AGENT = 25
TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"token"}}]}\n\n' * 2
SETTINGS = {"heartbeat_interval_s": 1.0, "silence_limit_s": 3.0, "window_bytes": 262144}


async def serve_agent(port, number, tokens_per_s):
    """Accept one entry at a time and send it tokens at a fixed rate."""
    identity = Identity(f"agent-{number}", "domain-a", "agent", ["triage-llm"])
    listener = curio.tcp_server_socket("127.0.0.1", port)
    while True:
        socket, _ = await listener.accept()
        channel = Channel(socket, Frame, 4 * 1024 * 1024)
        try:
            await shake_hands(channel, identity, peer_settings(**SETTINGS), False)
        except ConnectionLostError:
            await channel.close()
            continue
        attempts = []
        sender = await curio.spawn(
            send_until_lost, channel, attempts, tokens_per_s, daemon=True
        )
        try:
            while True:
                for frame in await channel.receive():
                    if frame.start is not None:
                        head = ResponseHead(frame.start.attempt, 200, [])
                        await channel.send(Frame(head=head))
                        attempts.append([frame.start.attempt, 0])
        except ConnectionLostError:
            await sender.cancel()
            await channel.close()


async def send_until_lost(channel, attempts, tokens_per_s):
    """Send tokens until the entry disconnects."""
    with contextlib.suppress(ConnectionLostError):
        await send_tokens(channel, attempts, tokens_per_s)


async def send_tokens(channel, attempts, tokens_per_s):
    """Send tokens one after the other, with one write for each."""
    due_s = time.monotonic()
    sent = 0
    while True:
        due_s += 1 / tokens_per_s
        wait_s = due_s - time.monotonic()
        if wait_s > 0.002:
            await curio.sleep(wait_s)
        if sent % max(1, int(tokens_per_s)) == 0:
            await channel.send(Frame(heartbeat=Heartbeat(1)))
        sent += 1
        if attempts:
            stream = attempts[sent % len(attempts)]
            part = ResponsePart(stream[0], stream[1], TOKEN)
            stream[1] += len(TOKEN)
            await channel.send(Frame(part=part))


async def run_agents(port, tokens_per_s):
    """Run all agents in this process."""
    async with curio.TaskGroup() as tasks:
        for number in range(AGENTS):
            rate = tokens_per_s / AGENTS
            await tasks.spawn(serve_agent, port + number, number, rate)


async def count_tokens(exchange, counts):
    """Receive the events of one exchange as a request task does."""
    while True:
        event = await exchange.next_event()
        if isinstance(event, Part):
            counts[0] += len(event.data)
            counts[1] += 1


async def run_entry(port, measure_s):
    """Start all streams and print the CPU time that they need."""
    links = AgentLinks(
        Identity("entry-1", "domain-a", "entry"),
        peer_settings(**SETTINGS),
        SYSTEM_CLOCK,
        None,
    )
    links.reconcile(
        {f"agent-{n}": Address("127.0.0.1", port + n) for n in range(AGENTS)}
    )
    await curio.spawn(links.run, daemon=True)
    async with curio.timeout_after(CONNECT_LIMIT_S):
        while len(links.connected_hosts()) < AGENTS:
            await curio.sleep(0.05)
    counts = [0, 0]
    for number in range(AGENTS * STREAMS_PER_AGENT):
        exchange = await links.start(
            f"agent-{number % AGENTS}",
            start_request(f"r-{number}"),
            Deadline.after(SYSTEM_CLOCK, 600),
        )
        await curio.spawn(count_tokens, exchange, counts, daemon=True)
    await curio.sleep(1)
    counts[:] = [0, 0]
    start_s, start = time.monotonic(), os.times()
    await curio.sleep(measure_s)
    took_s, stop = time.monotonic() - start_s, os.times()
    user_s, system_s = stop.user - start.user, stop.system - start.system
    cpu_s = user_s + system_s
    tokens = counts[0] / len(TOKEN)
    print(
        f"{tokens / took_s:.0f} tokens/s in {counts[1] / took_s:.0f} parts/s, "
        f"{100 * cpu_s / took_s:.1f}% of a core, "
        f"{1e6 * cpu_s / max(1, tokens):.1f} us a token, of it "
        f"{1e6 * system_s / max(1, tokens):.1f} us in the system"
    )


def main(role, port, number, *options):
    """Run one side."""
    run_role = {"agents": run_agents, "entry": run_entry}[role]
    profiler = cProfile.Profile()
    if "profile" in options:
        profiler.enable()
    curio.run(run_role, int(port), float(number))
    if "profile" in options:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(25)


if __name__ == "__main__":
    main(*sys.argv[1:])
