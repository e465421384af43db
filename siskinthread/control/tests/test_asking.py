"""Questions and answers of one link."""

import curio
import pytest

from siskinthread.configuration.tests.nodes import changed_log
from siskinthread.control._answering import AnswerQueue
from siskinthread.control._peer_links import PeerLink
from siskinthread.control.tests.nodes import (
    AgentNode,
    all_at,
    EntryNode,
    NodeSettings,
    running,
)
from siskinthread.control.tests.test_status import OperatedEntry
from siskinthread.errors import ConnectionLostError
from siskinthread.wire import (
    ConfigurationRequest,
    ConfigurationStatus,
    ConfigurationUpdate,
    Frame,
    Identity,
    open_channel,
    shake_hands,
)

FRAME_LIMIT_BYTES = 4096


class FakeLink:
    """A link that stores the frames sent."""

    def __init__(self):
        self.sent = curio.Queue()

    async def send(self, frame):
        """Store a frame."""
        await self.sent.put(frame)


def question(offset):
    return Frame(
        configuration_request=ConfigurationRequest(ConfigurationStatus(offset, "c"))
    )


def answer_to(offset, parts=()):
    status = ConfigurationStatus(offset + 1, "d")
    base = ConfigurationStatus(offset, "c")
    return ConfigurationUpdate(status, base, [], list(parts), False)


def test_late_answer_is_not_taken_for_the_next_questions():
    """An answer that arrives after the next question was sent is discarded.

    Otherwise a process that asks a slow peer would always be one answer behind.
    """

    async def run():
        link = FakeLink()
        peer = PeerLink(link)
        assert await peer.ask(question(1), 0) is None
        asking = await curio.spawn(peer.ask, question(2), 5)
        await link.sent.get()
        await link.sent.get()
        await peer.take_answer(answer_to(1))
        await peer.take_answer(answer_to(2))
        assert (await asking.join()).base.applied_offset == 2

    curio.run(run)


def test_answer_over_the_frame_limit_is_not_sent():
    """Links to a starting process don't break repeatedly.

    If the state is so large that its snapshot exceeds the longest frame, the peer would
    close the link with every stream on it, and ask again on the next link.
    """

    async def run():
        async def answer(request):
            long = request.status.applied_offset == 1
            return answer_to(1, [b"x" * FRAME_LIMIT_BYTES] if long else [])

        queue = AnswerQueue(answer, FRAME_LIMIT_BYTES)
        task = await curio.spawn(queue.run)
        first, second = FakeLink(), FakeLink()
        await queue.put(first, question(1).configuration_request)
        await queue.put(second, question(2).configuration_request)
        await second.sent.get()
        assert first.sent.empty()
        await task.cancel()

    curio.run(run)


def test_process_that_starts_waits_for_its_first_link():
    """A restarted host doesn't serve a configuration that was replaced.

    The log lost its tail, and a process reads it before its first link is up, when no
    peer could be asked yet.
    """

    async def run():
        log = changed_log(4)
        settings = NodeSettings()
        agent, started = AgentNode("a1", log, settings), EntryNode("e1", log, settings)
        async with running(agent):
            await all_at(3, agent)
            log.truncate(2)
            started.link_to(agent)
            async with running(started):
                await all_at(3, started)
        assert started.versions == [3]

    curio.run(run)


def test_process_that_started_upon_a_shortened_log_catches_up_by_a_peer():
    """A host doesn't stay on a replaced configuration without any logged error.

    The log lost its tail, a process starts from it, and its link to a process with the
    lost records comes up later.  A process that can read the log must ask peers too.
    """

    async def run():
        log = changed_log(4)
        settings = NodeSettings()
        agent, started = AgentNode("a1", log, settings), EntryNode("e1", log, settings)
        async with running(agent):
            await all_at(3, agent)
            log.truncate(2)
            async with running(started):
                await all_at(1, started)
                started.link_to(agent)
                await all_at(3, started)
        assert started.versions == [1, 3]

    curio.run(run)


def test_only_operators_are_served_where_there_are_no_links():
    """The connection of an authenticated peer with another role is closed."""

    async def run():
        settings = NodeSettings()
        entry = OperatedEntry("e1", changed_log(1), settings)
        async with running(entry):
            address = entry.address()
            channel = await open_channel(
                address.host, address.port, Frame, FRAME_LIMIT_BYTES, 1.0
            )
            other = Identity("e2", "domain-a", "entry")
            await shake_hands(channel, other, settings.peers, dialled=True)
            with pytest.raises(ConnectionLostError):
                await channel.send(question(0))
                await channel.receive()
            await channel.close()

    curio.run(run)
