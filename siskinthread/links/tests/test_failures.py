"""Tests of lost connections, silent connections and replaced agents."""

import curio

from siskinthread.links import Exchange
from siskinthread.links.tests.fake_agent import (
    cut_inside,
    CutConnectionError,
    FakeAgent,
    HOST,
    peer_settings,
    plain_transmit,
    start_request,
)
from siskinthread.links.tests.harness import (
    deadline_after,
    drain,
    run,
    running_links,
    wait_connected,
)
from siskinthread.observability import Metrics
from siskinthread.outcomes import Head, Outcome, Reason
from siskinthread.settings import Address
from siskinthread.wire import Acknowledge, CancelRequest, ResumeRequest, StartRequest

BODY = bytes(range(256)) * 8
UNLIMITED_S = 3600


class CutAfter:
    """Cuts the connection once, inside frame `number` of the whole run."""

    def __init__(self, number):
        self.left = number

    async def __call__(self, agent, channel, frame):
        self.left -= 1
        if self.left == 0:
            await cut_inside(channel, frame)
        await channel.send(frame)


class SilentFrom:
    """Makes the first connection silent from its frame `number` on."""

    def __init__(self, number):
        self.left = number

    async def __call__(self, agent, channel, frame):
        self.left -= 1
        if agent.connections == 1 and self.left <= 0:
            agent.sends_heartbeats = False
            return
        agent.sends_heartbeats = True
        await channel.send(frame)


def test_connection_cut_inside_a_part_is_resumed():
    """The answer is complete although its connection broke inside a frame.

    Guards against truncated answers and duplicate bytes when the agent sends half of a
    part, the connection closes and the entry dials again: the response has to be
    resumed from the received offset.
    """

    async def main():
        agent = FakeAgent(peer_settings(), BODY, CutAfter(20))
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            received = await drain(exchange)
            assert received.end.outcome == Outcome.ANSWERED
            assert received.body == BODY
            assert agent.runs == 1
            (resume,) = agent.messages(ResumeRequest)
            assert resume.head_received
            assert resume.offset_bytes % 7 == 0 and resume.offset_bytes > 0

    run(main)


def test_silent_connection_is_replaced():
    """An answer continues over a new connection after the old one went silent.

    Guards against a request that hangs until its deadline when a middlebox drops the
    state of a connection: neither end gets an error, and new connections work.  Only a
    silence limit detects this.
    """

    async def main():
        metrics = Metrics()
        agent = FakeAgent(peer_settings(), BODY, SilentFrom(20))
        async with running_links(agent, metrics=metrics) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            received = await drain(exchange)
            assert received.end.outcome == Outcome.ANSWERED
            assert received.body == BODY
            assert (agent.runs, agent.connections) == (1, 2)
        assert b"links_silent_connections_total 1.0" in metrics.render()

    run(main)


def test_replaced_agent_answers_unknown():
    """A request that ran on a replaced agent ends as unknown and does not run again.

    Guards against running a request twice: the agent runs it and crashes, and its
    successor listens at the same address without a record of the request, so the start
    frame must not be sent again.
    """

    async def main():
        async def replace(agent, channel, frame):
            if agent.connections == 1 and frame.part is not None:
                agent.replace("i-2")
                await cut_inside(channel, frame)
            await channel.send(frame)

        agent = FakeAgent(peer_settings(), BODY, replace)
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            received = await drain(exchange)
            assert received.end.outcome == Outcome.UNKNOWN
            assert received.end.reason == Reason.AGENT_REPLACED
            assert agent.runs == 1
            assert agent.messages(ResumeRequest)[0].sent_to_incarnation == "i-1"
            assert links.status(HOST).incarnation == "i-2"
            assert links.status(HOST).incarnations_seen == 2

    run(main)


def test_start_lost_on_the_way_is_asked_about_and_not_sent_again():
    """A written start frame that never arrived ends as not run if the agent confirms.

    Guards against a request that runs twice, or runs after it was reported as not run:
    the start frame is written and lost with the connection.  Only the agent knows
    whether it arrived, and the agent refuses a late frame.
    """

    async def main():
        agent = FakeAgent(peer_settings(), BODY)
        async with running_links(agent) as links:
            await wait_connected(links)
            agent.answers = False
            agent.sends_heartbeats = False
            exchange = await links.start(HOST, start_request(), deadline_after())
            await agent.wait_until(lambda agent: agent.messages(StartRequest))
            agent.answers = True
            received = await drain(exchange)
            assert received.end.outcome == Outcome.REFUSED_NOT_RUN
            assert received.end.reason == Reason.NEVER_RECEIVED
            assert agent.runs == 0
            assert len(agent.messages(StartRequest)) == 1

    run(main)


def test_start_that_was_never_written_goes_to_the_new_connection():
    """A request with a key that waits for its home starts when the home connects."""

    async def main():
        agent = FakeAgent(peer_settings(reask_limit_s=UNLIMITED_S), BODY)
        async with running_links(agent) as links:
            request = start_request(idempotency_key="key-1")
            exchange = await links.start(HOST, request, deadline_after())
            received = await drain(exchange)
            assert received.end.outcome == Outcome.ANSWERED
            assert not agent.messages(ResumeRequest)

    run(main)


def test_agent_out_of_reach_ends_as_unknown_only_if_written():
    """With the agent unreachable, a written request ends as unknown, others as not run.

    Guards against reporting "not run" for a request that runs: the agent receives the
    request and then its host is cut off.  A failed dial proves nothing about requests
    that were sent before.
    """

    async def main():
        agent = FakeAgent(peer_settings())
        async with running_links(agent) as links:
            await wait_connected(links)
            agent.answers = False
            written = await links.start(HOST, start_request("r-1"), deadline_after())
            await agent.wait_until(lambda agent: agent.messages(StartRequest))
            agent.sends_heartbeats = False
            links.reconcile({HOST: Address("127.0.0.1", 1)})
            received = await drain(written)
            assert received.end.outcome == Outcome.UNKNOWN
            assert received.end.reason == Reason.AGENT_UNREACHABLE
            late = await links.start(HOST, start_request("r-2"), deadline_after())
            received = await drain(late)
            assert received.end.outcome == Outcome.REFUSED_NOT_RUN
            assert received.end.reason == Reason.TARGET_UNREACHABLE

    run(main)


def test_passed_deadline_cancels_at_the_agent():
    """Past its deadline a started request ends as unknown and is cancelled."""

    async def main():
        agent = FakeAgent(peer_settings())
        async with running_links(agent) as links:
            await wait_connected(links)
            agent.answers = False
            exchange = await links.start(HOST, start_request(), deadline_after(0.05))
            received = await drain(exchange)
            assert received.end.outcome == Outcome.UNKNOWN
            assert received.end.reason == Reason.DEADLINE_PASSED
            await agent.wait_until(lambda agent: agent.messages(CancelRequest))
            late = await links.start(HOST, start_request("r-2"), deadline_after(0))
            received = await drain(late)
            assert received.end.outcome == Outcome.REFUSED_NOT_RUN
            assert links.status(HOST).outstanding == 0
            assert len(agent.messages(StartRequest)) == 1

    run(main)


def test_passed_deadline_after_the_head_says_that_it_ran():
    """Past its deadline a request whose head was received ends as `FAILED_RAN`."""

    async def main():
        async def head_only(agent, channel, frame):
            if frame.head is not None:
                await plain_transmit(agent, channel, frame)

        agent = FakeAgent(peer_settings(), BODY, head_only)
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after(0.1))
            received = await drain(exchange)
            assert received.head.status == 200
            assert received.end.outcome == Outcome.FAILED_RAN

    run(main)


def test_lost_cancellation_is_repeated_on_the_new_connection():
    """A cancellation reaches the agent although its connection was lost.

    Guards against targets that work on answers that nobody reads, because the caller
    left while the link was down and the cancellation was sent only once.

    The agent delays the handshake until the request is cancelled.  Otherwise the link
    could be lost and connected again between two checks of its status.
    """

    async def main():
        agent = FakeAgent(peer_settings(), BODY, SilentFrom(3))
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            assert isinstance(await exchange.next_event(), Head)
            agent.delays_handshakes = True
            while links.status(HOST).connected:
                await curio.sleep(0.001)
            await exchange.cancel()
            agent.sends_heartbeats = True
            agent.delays_handshakes = False
            await agent.wait_until(lambda agent: agent.messages(CancelRequest))
            assert agent.connections == 2
            assert not agent.messages(ResumeRequest)

    run(main)


def test_acknowledgement_is_repeated_after_a_resume():
    """An answer longer than the window completes although acknowledgements were lost.

    Guards against a stream that stalls for ever after a reconnect: the entry consumed
    and acknowledged the whole window, the acknowledgement was lost with the connection,
    and the agent waits with a full window.  The entry has nothing new to acknowledge,
    so it has to repeat the acknowledgement.
    """

    async def main():
        agent = FakeAgent(peer_settings(window_bytes=1024), BODY)

        async def ignore(message, channel):
            return None

        acknowledge = agent._on_Acknowledge
        agent._on_Acknowledge = ignore
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            task = await curio.spawn(drain, exchange)
            await agent.wait_until(
                lambda agent: any(
                    message.received_bytes == 1024
                    for message in agent.messages(Acknowledge)
                )
            )
            agent._on_Acknowledge = acknowledge
            agent.sends_heartbeats = False
            await agent.wait_until(lambda agent: agent.messages(ResumeRequest))
            agent.sends_heartbeats = True
            received = await task.join()
            assert received.body == BODY

    run(main)


def test_short_answer_is_never_shown_as_whole():
    """An answer whose last part is missing even after a resume ends as unknown.

    Guards against a truncated answer that is reported as complete: the length in the
    end frame has to be compared with the bytes received.
    """

    async def main():
        async def without_last(agent, channel, frame):
            part = frame.part
            if part is None or part.offset_bytes + len(part.data) < len(BODY):
                await channel.send(frame)

        agent = FakeAgent(peer_settings(window_bytes=4096), BODY, without_last)
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            received = await drain(exchange)
            assert received.end.outcome == Outcome.UNKNOWN
            assert received.end.reason == Reason.ANSWER_GONE
            assert len(agent.messages(ResumeRequest)) == 1

    run(main)


def test_link_to_a_vanished_host_ends_after_its_last_exchange():
    """A host that was removed from the list keeps its link until its answers end."""

    async def main():
        agent = FakeAgent(peer_settings(), BODY)
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            assert isinstance(await exchange.next_event(), Head)
            links.reconcile({})
            assert links.connected_hosts() == []
            while links.status(HOST).outstanding:
                await exchange.next_event()
            while links.status(HOST) is not None:
                await curio.sleep(0.001)
            received = await drain(
                await links.start(HOST, start_request("r-2"), deadline_after())
            )
            assert received.end.outcome == Outcome.REFUSED_NOT_RUN

    run(main)


def test_nobody_to_wait_for_is_said_at_the_deadline():
    """Waiting for a connection ends at its deadline if no agent can be connected."""

    async def main():
        agent = FakeAgent(peer_settings())
        agent.identity.host = "agent-2"
        async with running_links(agent) as links:
            assert not await links.wait_until_connected(deadline_after(0.02))

    run(main)


def test_peer_with_another_name_gets_no_request():
    """No requests are sent to another host that listens at a reused address."""

    async def main():
        agent = FakeAgent(peer_settings(), BODY)
        agent.identity.host = "agent-2"
        async with running_links(agent) as links:
            exchange = await links.start(HOST, start_request(), deadline_after())
            received = await drain(exchange)
            assert received.end.outcome == Outcome.REFUSED_NOT_RUN
            assert not agent.messages(StartRequest)

    run(main)


def test_reconnects_do_not_add_up_windows():
    """At most one window is buffered for an idle request task, despite reconnects.

    Guards against memory of an entry with slow callers that grows by a window per
    stream at each reconnect: if an exchange resumes after bytes that were not consumed,
    the agent counts them as consumed and sends another window.
    """

    async def main():
        async def cut_behind_window(agent, channel, frame):
            part = frame.part
            await channel.send(frame)
            if part is None or agent.connections == 4:
                return
            if (part.offset_bytes + len(part.data)) % 1024 == 0:
                raise CutConnectionError

        limits = peer_settings(window_bytes=1024, reask_limit_s=UNLIMITED_S)
        agent = FakeAgent(limits, BODY * 4, cut_behind_window)
        agent.counts_resume_as_acknowledged = True
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            while agent.connections < 4 or exchange.received_bytes < 1024:
                assert exchange.received_bytes <= 1024
                await curio.sleep(0.001)
            received = await drain(exchange)
            assert received.end.outcome == Outcome.ANSWERED
            assert received.body == BODY * 4

    run(main)


def test_unforeseen_error_does_not_end_the_link(monkeypatch):
    """An unexpected error in handling one frame costs a reconnect and not the link.

    If the error ended the link's task, the exchanges of the host would hang and the
    host would get no requests until the entry restarts.
    """
    receive_head = Exchange.receive_head
    errors = [RuntimeError("unforeseen")]

    def fail_once(exchange, head):
        if errors:
            raise errors.pop()
        return receive_head(exchange, head)

    async def main():
        agent = FakeAgent(peer_settings(), BODY)
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            received = await drain(exchange)
            assert received.body == BODY
            assert (agent.runs, agent.connections) == (1, 2)

    monkeypatch.setattr(Exchange, "receive_head", fail_once)
    run(main)
