"""The part of a process that keeps its configuration up to date."""

import functools
import random as random_module

import curio

from siskinthread.configuration import LogFollower
from siskinthread.control._answering import AnswerQueue
from siskinthread.control._asking import LinkPeers
from siskinthread.control._listener import LinkListener
from siskinthread.control._peer_links import PeerLink
from siskinthread.control._readers import ReaderChoice
from siskinthread.wire import (
    ConfigurationRequest,
    ConfigurationUpdate,
    Heartbeat,
)


class ControlPlane(LinkListener):
    """Follows the configuration by the log and by peers, and passes it on.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : EntrySettings or AgentSettings
        Or any object with their ``platform``, ``configuration`` and ``peers``.
    client : siskinthread.shared_services.LogClient
        Client of the log.
    view : ConfigurationView
        Advanced with each accepted record.
    membership : MembershipView
        Who is there.
    clock : Clock
        The process's clock.
    metrics : siskinthread.observability.Metrics
        The process's metrics.
    random : random.Random or None
        Source of jitter and choices.
    """

    __slots__ = ("_answers", "_follower", "_news", "_peers")

    def __init__(
        self,
        identity,
        settings,
        client,
        view,
        membership,
        clock,
        metrics,
        random=None,
    ):
        random = random or random_module.Random()
        configuration = settings.configuration
        readers = ReaderChoice(
            identity.host,
            identity.failure_domain,
            membership,
            configuration.readers_per_domain,
        )
        questions = metrics.counter(
            "control_questions", "Questions to peers by result.", ("result",)
        )
        self._peers = LinkPeers(readers, clock, random, questions)
        self._follower = LogFollower(
            client,
            view,
            settings.platform,
            clock,
            metrics,
            configuration,
            random,
            peers=self._peers,
        )
        self._answers = AnswerQueue(
            self._follower.answer, settings.peers.frame_limit_bytes
        )
        self._news = curio.Event()

    def configuration_offset(self):
        """Return the last record that was folded; None before the first."""
        return self._follower.applied_offset

    async def answer(self, request):
        """Return the `ConfigurationUpdate` for a `ConfigurationRequest`."""
        return await self._follower.answer(request)

    async def link_up(self, link):
        """Take on a link."""
        await self._peers.add(link, PeerLink(link))

    async def link_down(self, link):
        """Forget a link."""
        peer = self._peers.links.pop(link, None)
        self._answers.drop(link)
        if peer is not None:
            await peer.give_up()

    async def receive(self, message, link):
        """Take in a message of a peer."""
        peer = self._peers.links.get(link)
        if peer is not None:
            await _receive(message, peer, self)

    async def run(self):
        """Run until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._follow)
            await group.spawn(self._answers.run)
        if group.exception is not None:
            raise group.exception

    async def note_offset(self, peer, offset):
        """Take in how far a peer is, and ask it at once if that is further."""
        peer.offset = offset
        if peer.is_ahead(self._own_offset()):
            await self._news.set()

    async def queue_question(self, peer, request):
        """Have a peer's question answered."""
        await self._answers.put(peer.link, request)

    async def _follow(self):
        announced_offset = None
        while True:
            self._news.clear()
            self._peers.asked.clear()
            before = self._own_offset()
            pause_s = await self._follower.step()
            if not self._peers.asked and self._peers.ahead(self._own_offset()):
                # The log was read and lacks what a peer has: it lost its tail.  A
                # process that started upon such a log would stay behind for good.
                await self._follower.ask_peers()
            self._note_fruitless(before)
            if announced_offset != self.configuration_offset():
                announced_offset = self.configuration_offset()
                await self._announce()
            # An answer holds a bounded number of records; the rest is fetched at once.
            if self._peers.asked and self._peers.ahead(self._own_offset()):
                await curio.sleep(0)
                continue
            if not self._peers.ahead(self._own_offset()):
                # What woke this task was said while the peer was being asked.  Kept, it
                # would have a peer of another history asked once more for nothing.
                self._news.clear()
            await self._pause(pause_s)

    def _own_offset(self):
        offset = self.configuration_offset()
        return -1 if offset is None else offset

    async def _pause(self, pause_s):
        if pause_s > 0:
            await curio.ignore_after(pause_s, self._news.wait)
        else:
            await curio.sleep(0)

    def _note_fruitless(self, before):
        if self._own_offset() > before:
            return
        for peer in self._peers.asked:
            # Not by what it has said since: a question that was put before that was not
            # in vain for it, and the peer would never be asked for its new records.
            judged_offset = peer.judged_offset
            if judged_offset is not None and judged_offset > before:
                peer.fruitless_offset = judged_offset

    async def _announce(self):
        for link in list(self._peers.links):
            await link.send_heartbeat()


@functools.singledispatch
async def _receive(message, peer, plane):
    raise TypeError(f"{type(message).__name__} is no message of the control plane")


@_receive.register
async def _(message: Heartbeat, peer, plane):
    if message.configuration_offset is not None:
        await plane.note_offset(peer, message.configuration_offset)


@_receive.register
async def _(message: ConfigurationRequest, peer, plane):
    await plane.queue_question(peer, message)


@_receive.register
async def _(message: ConfigurationUpdate, peer, plane):
    await peer.take_answer(message)
