"""Answers operators' queries for the state of this process."""

import curio

from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.observability import part_logger
from siskinthread.wire import Channel, Frame, shake_hands

OPERATOR_ROLE = "operator"
LONGEST_CONNECTION_S = 30.0

_LOG = part_logger("control")


async def answer_operator(channel, frames, control, answer_experts=None):
    """Answer an operator's questions until the connection ends.

    Parameters
    ----------
    channel : Channel
        An authenticated channel of a peer with the role of an operator.
    frames : list of Frame
        Frames that arrived directly after the handshake.
    control : LinkListener
        Control plane of this process.
    answer_experts : callable or None
        Returns the `ExpertsStatus` for an `ExpertsQuestion`; None on an entry, which
        has no experts.

    Raises
    ------
    ConnectionLostError
        When the connection ends or exceeds its time limit.
    ProtocolError
        If the operator sent an unknown question.

    Notes
    -----
    An operator's command sends one question and disconnects.  A command that is stopped
    before that would hold its connection indefinitely, so every connection has a time
    limit.
    """
    try:
        async with curio.timeout_after(LONGEST_CONNECTION_S):
            while True:
                for frame in frames:
                    await _answer(frame, channel, control, answer_experts)
                frames = await channel.receive()
    except curio.TaskTimeout as error:
        raise ConnectionLostError(
            "operator connection exceeded its time limit"
        ) from error


async def _answer(frame, channel, control, answer_experts):
    if frame.experts_question is not None and answer_experts is not None:
        status = answer_experts(frame.experts_question)
        await channel.send(Frame(experts_status=status))
        return
    if frame.configuration_request is None:
        raise ProtocolError("operator sent a question that this process can't answer")
    update = await control.answer(frame.configuration_request)
    await channel.send(Frame(configuration_update=update))


class OperatorServer:
    """Listens for operators in a process that accepts no links.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : PeerSettings
        Keys and timeouts.
    control : LinkListener
        Control plane of this process.
    """

    __slots__ = ("_control", "_identity", "_settings")

    def __init__(self, identity, settings, control):
        self._identity = identity
        self._settings = settings
        self._control = control

    async def run(self, listening_socket):
        """Serve connections until cancelled."""
        await curio.network.run_server(listening_socket, self._serve)

    async def _serve(self, socket, address):
        channel = Channel(socket, Frame, self._settings.frame_limit_bytes)
        try:
            hello, frames = await shake_hands(
                channel, self._identity, self._settings, dialled=False
            )
            if hello.role != OPERATOR_ROLE:
                raise ProtocolError(f"{hello.host} is not an operator")
            await answer_operator(channel, frames, self._control)
        except ConnectionLostError:
            pass
        except ProtocolError as error:
            _LOG.warning("Operator connection refused: %s.", error)
        finally:
            await channel.close()
