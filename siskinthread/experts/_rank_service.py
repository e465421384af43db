"""Agent side of a controller's connection: receives orders and sends replies."""

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
    """Serve the rank of this host to controllers.

    Parameters
    ----------
    settings : RankSettings
        Settings of the rank.
    clock : Clock
        Clock for the deadlines.
    on_heartbeat : callable
        Called with the host of a controller for each frame of that controller.
    """

    __slots__ = ("_settings", "engine", "gate", "on_heartbeat")

    def __init__(self, settings, clock, on_heartbeat=lambda host: None):
        self._settings = settings
        self.on_heartbeat = on_heartbeat
        self.engine = RankEngine(settings, clock)
        self.gate = RankGate(self.engine, clock, settings.hold_limit_s)

    async def run(self):
        """Release holds that pass their deadlines, until cancelled."""
        while True:
            await self.gate.release_expired_hold()
            await curio.sleep(self._settings.lapse_interval_s)

    async def serve(self, channel, frames):
        """Answer the frames of a controller until its connection ends.

        Parameters
        ----------
        channel : Channel
            An authenticated connection.
        frames : list of Frame
            Frames that arrived together with the end of the handshake.

        Raises
        ------
        ConnectionLostError, ProtocolError
            Always, when the connection ends.
        """
        while True:
            for frame in frames:
                self.on_heartbeat(channel.peer_hello.host)
                message = message_of(frame)
                if isinstance(message, Heartbeat):
                    continue
                if getattr(message, "group", None) != self._settings.group:
                    raise ProtocolError("frame is not for the group of this host")
                await channel.send(await _answer(message, self))
            frames = await channel.receive()


@functools.singledispatch
async def _answer(message, service):
    raise ProtocolError(f"unexpected {type(message).__name__} from a controller")


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
