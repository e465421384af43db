"""Reading from one connection until it is lost or silent."""

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.links._receiving import receive_frames
from siskinthread.timing import Deadline


class Reader:
    """Reads the frames of one connection and hands them to its link.

    Parameters
    ----------
    channel : Channel
        An authenticated channel.
    link : Link
        Takes the frames; says when the connection is not needed any more.
    settings : PeerSettings
        Silence limit and read interval.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("_channel", "_clock", "_heard_at_s", "_link", "_settings")

    def __init__(self, channel, link, settings, clock):
        self._channel = channel
        self._link = link
        self._settings = settings
        self._clock = clock
        self._heard_at_s = clock.monotonic_s()

    async def run(self, frames):
        """Read until the connection is not needed any more.

        Parameters
        ----------
        frames : list of Frame
            Frames that arrived right behind the handshake.

        Raises
        ------
        ConnectionLostError
            If the connection ended or was silent for too long.
        ProtocolError
            If the agent broke the protocol.
        """
        await receive_frames(frames, self._link)
        while not self._link.connection_is_unneeded():
            silence_limit_s = self._settings.silence_limit_s
            silent = Deadline(self._clock, self._heard_at_s + silence_limit_s)
            if silent.passed() and not await self._receive_without_waiting():
                self._link.metrics.silent_connections.inc()
                raise ConnectionLostError("silent")
            await curio.ignore_after(silent.left_s(), self._read_on)

    async def _read_on(self):
        # One timeout spans many receives: a timeout for each would cost four traps of
        # curio for each.
        interval_s = self._settings.read_interval_s
        while not self._link.connection_is_unneeded():
            await self._receive()
            if interval_s:
                # Tokens that arrive meanwhile are read and handed on together.  The
                # wait ends for all links at the same moment, so that one turn of the
                # kernel serves them all; docs/slices/links.md has the figures.
                await curio.sleep(interval_s - self._heard_at_s % interval_s)

    async def _receive(self):
        frames = await self._channel.receive()
        self._heard_at_s = self._clock.monotonic_s()
        await receive_frames(frames, self._link)
        return True

    async def _receive_without_waiting(self):
        # When this process was stopped (SIGSTOP, a paused virtual machine), every
        # silence deadline passes while it sleeps, although the agents went on sending.
        # Without this look at the socket, it would wake up, take every link for dead
        # and ask about every request at once.
        return bool(await curio.ignore_after(0, self._receive))
