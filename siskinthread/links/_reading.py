"""Reading from one connection until it is lost or past its silence limit."""

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.links._receiving import receive_frames
from siskinthread.timing import Deadline


class Reader:
    """Reads the frames of one connection and passes them to its link.

    Parameters
    ----------
    channel : Channel
        An authenticated channel.
    link : Link
        Receives the frames and tells when the connection is no longer needed.
    settings : PeerSettings
        Silence limit and read interval.
    clock : Clock
        The process's clock.
    """

    __slots__ = ("_channel", "_clock", "_received_at_s", "_link", "_settings")

    def __init__(self, channel, link, settings, clock):
        self._channel = channel
        self._link = link
        self._settings = settings
        self._clock = clock
        self._received_at_s = clock.monotonic_s()

    async def run(self, frames):
        """Read until the connection is no longer needed.

        Parameters
        ----------
        frames : list of Frame
            Frames that arrived together with the handshake.

        Raises
        ------
        ConnectionLostError
            If the connection ended or no frame arrived within the silence limit.
        ProtocolError
            If the agent broke the protocol.
        """
        await receive_frames(frames, self._link)
        while not self._link.connection_is_unneeded():
            silence_limit_s = self._settings.silence_limit_s
            silence_deadline = Deadline(
                self._clock, self._received_at_s + silence_limit_s
            )
            if silence_deadline.passed() and not await self._receive_buffered():
                self._link.metrics.silent_connections.inc()
                raise ConnectionLostError("silent")
            await curio.ignore_after(
                silence_deadline.left_s(), self._read_until_unneeded
            )

    async def _read_until_unneeded(self):
        # One timeout covers many receives: a timeout for each receive would cost four
        # curio traps.
        interval_s = self._settings.read_interval_s
        while not self._link.connection_is_unneeded():
            await self._receive()
            if interval_s:
                # Tokens that arrive during the wait are read and passed on together.
                # The wait ends for all links at the same time, so that one cycle of the
                # curio kernel serves them all; docs/slices/links.md has the figures.
                await curio.sleep(interval_s - self._received_at_s % interval_s)

    async def _receive(self):
        frames = await self._channel.receive()
        self._received_at_s = self._clock.monotonic_s()
        await receive_frames(frames, self._link)
        return True

    async def _receive_buffered(self):
        # When this process is paused (SIGSTOP, a paused virtual machine), every silence
        # deadline passes although the agents continue to send.  Without this read from
        # the socket, the process would resume, treat every link as lost and ask about
        # all requests at the same time.
        return bool(await curio.ignore_after(0, self._receive))
