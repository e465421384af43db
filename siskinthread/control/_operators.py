"""Answering operators, who ask each process for what it holds."""

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
        Frames that arrived right behind the handshake.
    control : LinkListener
        Of this process.
    answer_experts : callable or None
        Returns the `ExpertsStatus` for an `ExpertsQuestion`; None at an entry.

    Raises
    ------
    ConnectionLostError
        In the end, always, unless a `ProtocolError` comes before.

    Notes
    -----
    An operator's command asks once and leaves.  One that was stopped in between would
    hold the connection for good, so every connection ends after a time.
    """
    try:
        async with curio.timeout_after(LONGEST_CONNECTION_S):
            while True:
                for frame in frames:
                    await _answer(frame, channel, control, answer_experts)
                frames = await channel.receive()
    except curio.TaskTimeout as error:
        raise ConnectionLostError("an operator's connection lasted too long") from error


async def _answer(frame, channel, control, answer_experts):
    if frame.experts_question is not None and answer_experts is not None:
        status = answer_experts(frame.experts_question)
        await channel.send(Frame(experts_status=status))
        return
    if frame.configuration_request is None:
        raise ProtocolError("an operator asks for what this process does not know")
    update = await control.answer(frame.configuration_request)
    await channel.send(Frame(configuration_update=update))


class OperatorServer:
    """Listens for operators in a process that has no links to listen for.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : PeerSettings
        Keys and waits.
    control : LinkListener
        Of this process.
    """

    __slots__ = ("_control", "_identity", "_settings")

    def __init__(self, identity, settings, control):
        self._identity = identity
        self._settings = settings
        self._control = control

    async def run(self, listening_socket):
        """Serve until cancelled."""
        await curio.network.run_server(listening_socket, self._serve)

    async def _serve(self, socket, address):
        channel = Channel(socket, Frame, self._settings.frame_limit_bytes)
        try:
            hello, frames = await shake_hands(
                channel, self._identity, self._settings, dialled=False
            )
            if hello.role != OPERATOR_ROLE:
                raise ProtocolError(f"{hello.host} is no operator")
            await answer_operator(channel, frames, self._control)
        except ConnectionLostError:
            pass
        except ProtocolError as error:
            _LOG.warning("An operator's connection was refused: %s.", error)
        finally:
            await channel.close()
