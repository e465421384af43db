"""Tests of exchanges without failures."""

import curio

from siskinthread.links import Exchange
from siskinthread.links.tests.fake_agent import (
    FakeAgent,
    HOST,
    peer_settings,
    start_request,
)
from siskinthread.links.tests.harness import (
    deadline_after,
    drain,
    run,
    running_links,
    wait_connected,
)
from siskinthread.outcomes import Outcome, Reason
from siskinthread.wire import Acknowledge, ResponseHead, ResponsePart

BODY = bytes(range(256)) * 20


def test_many_exchanges_on_one_link_are_answered_whole():
    """Each of many concurrent exchanges receives the whole body."""

    async def main():
        agent = FakeAgent(peer_settings(), BODY)
        async with running_links(agent) as links:
            await wait_connected(links)
            exchanges = [
                await links.start(HOST, start_request(f"r-{n}"), deadline_after())
                for n in range(30)
            ]
            assert links.status(HOST).outstanding == 30
            async with curio.TaskGroup(wait=all) as tasks:
                for exchange in exchanges:
                    await tasks.spawn(drain, exchange)
            for received in tasks.results:
                assert received.end.outcome == Outcome.ANSWERED
                assert received.body == BODY
                assert received.head.status == 200
            assert links.status(HOST).outstanding == 0
            assert agent.connections == 1
            await agent.wait_until(
                lambda agent: (
                    sum(ack.finished for ack in agent.messages(Acknowledge)) == 30
                )
            )

    run(main)


def test_untaken_bytes_stay_within_the_window():
    """An agent sends no more than a window to a request task that consumes nothing."""

    async def main():
        agent = FakeAgent(peer_settings(), BODY)
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            await agent.wait_until(lambda agent: agent.runs == 1)
            while exchange.received_bytes < agent.settings.window_bytes:
                await curio.sleep(0.001)
            assert agent.executions["r-1"].sent_bytes == agent.settings.window_bytes
            assert not agent.messages(Acknowledge)
            received = await drain(exchange)
            assert received.body == BODY
            acks = agent.messages(Acknowledge)
            windows = len(BODY) // agent.settings.window_bytes
            assert len(acks) <= 4 * windows + 1

    run(main)


def test_request_over_the_frame_limit_is_refused_and_disturbs_nobody():
    """A request that exceeds the frame limit is refused before it reaches the link.

    Guards against all streams of a link breaking at the same time because the agent
    closes the connection when it receives a frame over its limit.
    """

    async def main():
        agent = FakeAgent(peer_settings(frame_limit_bytes=4096), BODY)
        async with running_links(agent) as links:
            await wait_connected(links)
            request = start_request(body=b"x" * 4096)
            received = await drain(await links.start(HOST, request, deadline_after()))
            assert received.end.outcome == Outcome.REFUSED_NOT_RUN
            assert received.end.reason == Reason.BAD_REQUEST
            another = start_request("r-2")
            received = await drain(await links.start(HOST, another, deadline_after()))
            assert received.end.outcome == Outcome.ANSWERED
            assert agent.connections == 1

    run(main)


class RecordingLink:
    """Replaces a link and records the frames that are sent."""

    def __init__(self):
        self.frames = []

    async def send(self, frame):
        """Record a frame."""
        self.frames.append(frame)


def test_acknowledgements_come_a_quarter_of_the_window_apart():
    """An acknowledgement is sent for each quarter of the window, not for each part."""

    async def main():
        link = RecordingLink()
        request = start_request(attempt=1, window_bytes=400)
        exchange = Exchange(link, request, deadline_after())
        exchange.receive_head(ResponseHead(1, 200, []))
        await exchange.next_event()
        for offset in range(250):
            exchange.receive_part(ResponsePart(1, offset, b"x"))
            await exchange.next_event()
        received = [frame.acknowledge.received_bytes for frame in link.frames]
        assert received == [100, 200]

    run(main)
