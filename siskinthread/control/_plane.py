"""Keeps the configuration of a process up to date."""

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
    """Follows the configuration in the log and at peers, and serves it to peers.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : EntrySettings or AgentSettings
        Any object with the sections ``platform``, ``configuration`` and ``peers``.
    client : siskinthread.shared_services.LogClient
        Client of the log.
    view : ConfigurationView
        Advanced with each accepted record.
    membership : MembershipView
        Hosts on the host list.
    clock : Clock
        The process's clock.
    metrics : siskinthread.observability.Metrics
        The process's metrics.
    random : random.Random or None
        Source of jitter and of random choices; None for a new one.
    """

    __slots__ = ("_answers", "_follower", "_peer_ahead", "_peers")

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
        self._peer_ahead = curio.Event()

    def configuration_offset(self):
        """Return the offset of the last applied record; None before the first."""
        return self._follower.applied_offset

    async def answer(self, request):
        """Return the `ConfigurationUpdate` for a `ConfigurationRequest`."""
        return await self._follower.answer(request)

    async def link_up(self, link):
        """Add a link that came up."""
        await self._peers.add(link, PeerLink(link))

    async def link_down(self, link):
        """Remove a link and end a question that waits on it."""
        peer = self._peers.links.pop(link, None)
        self._answers.drop(link)
        if peer is not None:
            await peer.abandon_question()

    async def receive(self, message, link):
        """Handle a message of a peer; ignored if its link is unknown."""
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
        """Store a peer's offset, and wake the follower if the peer is ahead."""
        peer.offset = offset
        if peer.is_ahead(self._own_offset()):
            await self._peer_ahead.set()

    async def queue_question(self, peer, request):
        """Queue the answer to a peer's question."""
        await self._answers.put(peer.link, request)

    async def _follow(self):
        announced_offset = None
        while True:
            self._peer_ahead.clear()
            self._peers.asked.clear()
            before = self._own_offset()
            pause_s = await self._follower.step()
            if not self._peers.asked and self._peers.ahead(self._own_offset()):
                # The log was read and lacks records that a peer has, so it lost its
                # tail.  Without this question, a process that started from such a log
                # would stay behind permanently.
                await self._follower.ask_peers()
            self._record_unproductive(before)
            if announced_offset != self.configuration_offset():
                announced_offset = self.configuration_offset()
                await self._announce()
            # An answer holds a bounded number of records; fetch the rest at once.
            if self._peers.asked and self._peers.ahead(self._own_offset()):
                await curio.sleep(0)
                continue
            if not self._peers.ahead(self._own_offset()):
                # The event was set while the peer was being asked.  If it stayed set,
                # a peer with a diverged history would be asked a second time in vain.
                self._peer_ahead.clear()
            await self._pause(pause_s)

    def _own_offset(self):
        offset = self.configuration_offset()
        return -1 if offset is None else offset

    async def _pause(self, pause_s):
        if pause_s > 0:
            await curio.ignore_after(pause_s, self._peer_ahead.wait)
        else:
            await curio.sleep(0)

    def _record_unproductive(self, before):
        if self._own_offset() > before:
            return
        for peer in self._peers.asked:
            # Compare the offset at the time of the question.  A heartbeat that arrived
            # since may report newer records, for which the peer still has to be asked.
            asked_offset = peer.asked_offset
            if asked_offset is not None and asked_offset > before:
                peer.unproductive_offset = asked_offset

    async def _announce(self):
        for link in list(self._peers.links):
            await link.send_heartbeat()


@functools.singledispatch
async def _receive(message, peer, plane):
    raise TypeError(f"{type(message).__name__} is not a message of the control plane")


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
