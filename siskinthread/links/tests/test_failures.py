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
NEVER_S = 3600


class CutAfter:
    """Cuts the connection inside frame `number` of the whole run, once."""

    def __init__(self, number):
        self.left = number

    async def __call__(self, agent, channel, frame):
        self.left -= 1
        if self.left == 0:
            await cut_inside(channel, frame)
        await channel.send(frame)


class SilentFrom:
    """Lets the first connection go silent for good before its frame `number`."""

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
    """The answer is whole although its connection broke inside a frame.

    Symptom: an answer that stops, or has a piece twice.  Sequence: the agent sends half
    of a part, the connection closes, the entry dials again.  Cause: without a resume
    from the received offset the rest never comes.
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
    """An answer goes on over a new connection after the old one went silent.

    Symptom: a request hangs until its deadline while new requests are served.
    Sequence: something between the two ends forgets the connection; neither side gets
    an error; new connections work.  Cause: only a deadline on silence can notice.
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
    """A request that ran on a replaced agent ends as unknown, and is not run again.

    Symptom: an alert that goes out twice.  Sequence: the agent runs a request and dies;
    its successor listens at the same address.  Cause: sending the start frame to the
    successor, which has never heard of the request, would run it again.
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
    """A written start frame that never arrived ends as not run by the agent's word.

    Symptom: a request runs twice, or is called not run and then runs.  Sequence: the
    start frame is written and lost with the connection.  Cause: the entry can't know
    whether it arrived; only the agent can say, and it refuses a late one.
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
    """A request of a key that waits for its home is started once the home is back."""

    async def main():
        agent = FakeAgent(peer_settings(reask_limit_s=NEVER_S), BODY)
        async with running_links(agent) as links:
            request = start_request(idempotency_key="key-1")
            exchange = await links.start(HOST, request, deadline_after())
            received = await drain(exchange)
            assert received.end.outcome == Outcome.ANSWERED
            assert not agent.messages(ResumeRequest)

    run(main)


def test_agent_out_of_reach_ends_as_unknown_only_if_written():
    """What was written ends as unknown after the limit; what was not, as not run.

    Symptom: a caller is told "not run" of a request that runs.  Sequence: the agent
    gets a request and its host is cut off.  Cause: a refused dial says nothing about
    the request that was sent before.
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
    """Past its deadline a request whose head was received ends as failed, ran."""

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

    Symptom: engines spend time on answers that nobody reads.  Sequence: the caller
    leaves while the link is down.  Cause: the frame is sent once, to nobody.

    The agent greets no new connection until the caller has left, or the link could be
    down and up again between two looks at it.
    """

    async def main():
        agent = FakeAgent(peer_settings(), BODY, SilentFrom(3))
        async with running_links(agent) as links:
            await wait_connected(links)
            exchange = await links.start(HOST, start_request(), deadline_after())
            assert isinstance(await exchange.next_event(), Head)
            agent.holds_dials = True
            while links.status(HOST).connected:
                await curio.sleep(0.001)
            await exchange.cancel()
            agent.sends_heartbeats = True
            agent.holds_dials = False
            await agent.wait_until(lambda agent: agent.messages(CancelRequest))
            assert agent.connections == 2
            assert not agent.messages(ResumeRequest)

    run(main)


def test_acknowledgement_is_repeated_after_a_resume():
    """An answer beyond the window completes although acknowledgements were lost.

    Symptom: a stream stands still for good after a reconnect.  Sequence: the entry has
    consumed and acknowledged the whole window; the connection is lost with that frame;
    the agent waits with a full window.  Cause: the entry has nothing new to
    acknowledge, so nothing but a repetition opens the window.
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
    """An answer that misses its last part even after asking again ends as unknown.

    Symptom: half of a draft that looks finished.  Sequence: the end says a length that
    was not received.  Cause: taking the end frame's word without counting.
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
    """A host that left the list keeps its link while an answer is under way."""

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
    """Waiting for a connection ends at its deadline when no agent is there."""

    async def main():
        agent = FakeAgent(peer_settings())
        agent.identity.host = "agent-2"
        async with running_links(agent) as links:
            assert not await links.wait_until_connected(deadline_after(0.02))

    run(main)


def test_peer_with_another_name_gets_no_request():
    """A host at a reused address that is not the one wanted is never sent requests."""

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
    """A request task that takes nothing holds one window, however often links break.

    Symptom: an entry with slow callers grows by a window for each stream at every
    reconnect.  Sequence: a full window waits for the request task; the connection is
    lost; the agent takes the resume offset as consumed and sends another window.
    Cause: resuming behind bytes that nobody has taken.
    """

    async def main():
        async def cut_behind_window(agent, channel, frame):
            part = frame.part
            await channel.send(frame)
            if part is None or agent.connections == 4:
                return
            if (part.offset_bytes + len(part.data)) % 1024 == 0:
                raise CutConnectionError

        limits = peer_settings(window_bytes=1024, reask_limit_s=NEVER_S)
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
    """An error in this code, met in one frame, costs a reconnect and not the link.

    Symptom: a host gets no more requests until the entry restarts, and its exchanges
    hang.  Sequence: one frame leads into an error nobody thought of.  Cause: the
    link's task dies of it.
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
