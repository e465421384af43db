"""Agent side of a controller's connection: orders in, replies out."""

import functools

import curio

from siskinthread.errors import ProtocolError, TargetError
from siskinthread.experts._order_frames import (
    decode_order,
    encode_reply,
    encode_report,
)
from siskinthread.experts._rank_engine import RankEngine
from siskinthread.experts._rank_gate import RankGate
from siskinthread.wire import (
    Frame,
    Heartbeat,
    message_of,
    RankOrder,
    RankStatisticsRequest,
)


class RankService:
    """The rank of this host, as controllers reach it.

    Parameters
    ----------
    settings : RankSettings
        The rank.
    clock : Clock
        The process's clock.
    heard : callable
        Called with the host of a controller at each sign of its life.
    """

    __slots__ = ("_settings", "engine", "gate", "heard")

    def __init__(self, settings, clock, heard=lambda host: None):
        self._settings = settings
        self.heard = heard
        self.engine = RankEngine(settings, clock)
        self.gate = RankGate(self.engine, clock, settings.hold_limit_s)

    async def run(self):
        """Release holds that pass their limit; runs until cancelled."""
        while True:
            await self.gate.lapse()
            await curio.sleep(self._settings.lapse_interval_s)

    async def serve(self, channel, frames):
        """Answer a controller until its connection ends.

        Parameters
        ----------
        channel : Channel
            An authenticated connection.
        frames : list of Frame
            Frames that arrived right behind the handshake.

        Raises
        ------
        ConnectionLostError, ProtocolError
            In the end, always.
        """
        while True:
            for frame in frames:
                self.heard(channel.peer_hello.host)
                message = message_of(frame)
                if isinstance(message, Heartbeat):
                    continue
                if getattr(message, "group", None) != self._settings.group:
                    raise ProtocolError("no frame for the rank of this host")
                await channel.send(await _answer(message, self))
            frames = await channel.receive()


@functools.singledispatch
async def _answer(message, service):
    raise ProtocolError(f"a controller sends no {type(message).__name__}")


@_answer.register
async def _(message: RankOrder, service):
    reply = await service.gate.handle(decode_order(message))
    return Frame(rank_reply=encode_reply(reply, message.question))


@_answer.register
async def _(message: RankStatisticsRequest, service):
    try:
        report = await service.engine.report()
    except TargetError:
        report = None
    return Frame(rank_statistics=encode_report(report, message.question))
