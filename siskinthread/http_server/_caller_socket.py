"""Input and output of one caller's socket, with time limits."""

import enum
import socket as standard_socket
from collections import deque

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.sockets import reset

RECEIVE_SIZE_BYTES = 65_536
MILLISECONDS_PER_SECOND = 1000
# A blocked write has filled the kernel's send buffer, which the kernel makes twice as
# large as requested.
KERNEL_BUFFER_FACTOR = 2


class Phase(enum.Enum):
    """Phase of a connection, by what it waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    WRITE = "write"
    LINGER = "linger"


class Ending(enum.Enum):
    """Why a connection was ended early."""

    CALLER_LEFT = "caller_left"
    IDLE = "idle"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    SLOW_READER = "slow_reader"
    LINGERED = "lingered"
    # A slow reader, ended because buffered bytes exceed the limit for all slow readers.
    MEMORY = "memory"


ENDING_BY_PHASE = {
    Phase.IDLE: Ending.IDLE,
    Phase.HEAD: Ending.SLOW_HEAD,
    Phase.BODY: Ending.SLOW_BODY,
    Phase.LINGER: Ending.LINGERED,
}


class CallerSocket:
    """Reads ahead from a caller's socket and writes to it.

    Each connection has two tasks: one serves it, the other reads, so that a
    disconnection is noticed at any time.  The server's watchdog checks `expires_at_s`
    of all connections, so that writes need no timeouts of their own.

    Parameters
    ----------
    socket : curio.io.Socket
        The accepted socket.
    settings : CallerSettings
        Limits.
    clock : siskinthread.timing.Clock
        Clock for the time limits.

    Attributes
    ----------
    phase : Phase
        What the connection waits for.
    expires_at_s : float or None
        When the time limit of the phase passes, monotonic seconds; None without a
        limit.
    ending : Ending or None
        Why the connection was ended early, None if it was not.
    caller_left : bool
        Whether the caller closed its side or the connection failed.
    unsent_bytes : int
        Bytes of the current write that the kernel has not accepted yet.
    write_started_at_s : float or None
        When the current write began, monotonic seconds; None without one.
    """

    __slots__ = (
        "_input_changed",
        "_clock",
        "_incoming",
        "_incoming_bytes",
        "_interrupted",
        "_limit_passed",
        "_reader",
        "_buffer_space",
        "_serving_task",
        "_settings",
        "_socket",
        "caller_left",
        "ending",
        "expires_at_s",
        "phase",
        "unsent_bytes",
        "write_started_at_s",
    )

    def __init__(self, socket, settings, clock):
        self._socket = socket
        self._settings = settings
        self._clock = clock
        self._incoming = deque()
        self._incoming_bytes = 0
        self._interrupted = False
        self._limit_passed = False
        self._input_changed = curio.Event()
        self._buffer_space = curio.Event()
        self._reader = None
        self._serving_task = None
        self.caller_left = False
        self.ending = None
        self.phase = Phase.IDLE
        self.expires_at_s = None
        self.unsent_bytes = 0
        self.write_started_at_s = None

    async def open(self):
        """Set socket options and start reading; called by the serving task."""
        self._set_socket_options()
        self._serving_task = await curio.current_task()
        self._reader = await curio.spawn(self._read_ahead, daemon=True)

    async def close(self):
        """Stop reading and close the socket."""
        if self._reader is not None:
            await self._reader.cancel()
        await self._socket.close()

    async def abort(self):
        """Stop reading and reset the connection because its answer is incomplete."""
        if self._reader is not None:
            await self._reader.cancel()
        await reset(self._socket)

    def held_bytes(self):
        """Return the bytes buffered because the caller reads slowly."""
        if not self.unsent_bytes:
            return 0
        return self.unsent_bytes + (
            KERNEL_BUFFER_FACTOR * self._settings.send_buffer_bytes
        )

    async def end_for_memory(self):
        """End the connection of a slow reader to free its buffers."""
        await self._interrupt(Ending.MEMORY)

    async def expire(self):
        """Handle the expiry of the phase's time limit.

        A write is interrupted.  A read ends by itself, and only if no bytes are
        buffered: otherwise a request whose last bytes have just arrived could be
        reported as too slow and not run although it has begun.
        """
        self.expires_at_s = None
        if self.phase is Phase.WRITE:
            await self._interrupt(Ending.SLOW_READER)
        else:
            self._limit_passed = True
            await self._input_changed.set()

    def enter(self, phase, limit_s):
        """Enter a phase that may take `limit_s` seconds."""
        self.phase = phase
        self._limit_passed = False
        self.expires_at_s = self._clock.monotonic_s() + limit_s

    def enter_answer(self):
        """Enter the wait for the answer, which has its own deadline."""
        self.phase = Phase.ANSWER
        self.expires_at_s = None

    async def receive(self):
        """Return the next bytes from the caller.

        Returns
        -------
        bytes or None
            Empty at the end of the input; None if the phase's time limit has passed.
        """
        while not self._incoming:
            if self.caller_left:
                return b""
            if self._limit_passed:
                self.ending = self.ending or ENDING_BY_PHASE[self.phase]
                return None
            self._input_changed.clear()
            await self._input_changed.wait()
        data = self._incoming.popleft()
        self._incoming_bytes -= len(data)
        await self._buffer_space.set()
        return data

    async def write(self, data):
        """Write bytes; the watchdog ends the connection if a write makes no progress.

        Raises
        ------
        ConnectionLostError
            If the connection failed.
        """
        limit_s = self._settings.write_progress_limit_s
        send = self._socket.send
        self.phase = Phase.WRITE
        self.unsent_bytes = len(data)
        self.write_started_at_s = self._clock.monotonic_s()
        try:
            while data:
                self.expires_at_s = self._clock.monotonic_s() + limit_s
                sent_bytes = await send(data)
                self.unsent_bytes -= sent_bytes
                if not self.unsent_bytes:
                    break
                data = memoryview(data)[sent_bytes:]
        except OSError:
            self.caller_left = True
            raise ConnectionLostError("write to the caller failed") from None
        self.phase = Phase.ANSWER
        self.expires_at_s = None
        self.write_started_at_s = None

    async def linger(self):
        """Close the sending side and wait for the caller to close its own.

        Closing a socket with unread bytes makes the kernel send a reset, which can
        destroy the last response before the caller has read it.  The wait is limited to
        ``linger_limit_s``.
        """
        if self.caller_left:
            return
        self.enter(Phase.LINGER, self._settings.linger_limit_s)
        try:
            await self._socket.shutdown(standard_socket.SHUT_WR)
        except OSError:
            return
        while await self.receive():
            pass

    async def _read_ahead(self):
        while not self.caller_left:
            try:
                data = await self._socket.recv(RECEIVE_SIZE_BYTES)
            except OSError:
                data = b""
            self._incoming.append(data)
            self._incoming_bytes += len(data)
            self.caller_left = not data
            await self._input_changed.set()
            if self.caller_left and self.phase in (Phase.ANSWER, Phase.WRITE):
                await self._interrupt(Ending.CALLER_LEFT)
            while self._incoming_bytes >= self._settings.pipelined_limit_bytes:
                self._buffer_space.clear()
                await self._buffer_space.wait()

    async def _interrupt(self, ending):
        """Cancel the serving task, which waits for an answer or for buffer space.

        Only the first interruption has an effect, as curio cancels a task only once.
        """
        if not self._interrupted:
            self._interrupted = True
            self.ending = ending
            await self._serving_task.cancel(blocking=False)

    def _set_socket_options(self):
        user_timeout_ms = round(
            self._settings.write_progress_limit_s * MILLISECONDS_PER_SECOND
        )
        options = (
            # With Nagle's algorithm a token waits for the acknowledgement of the last.
            (standard_socket.IPPROTO_TCP, standard_socket.TCP_NODELAY, 1),
            (
                standard_socket.SOL_SOCKET,
                standard_socket.SO_SNDBUF,
                self._settings.send_buffer_bytes,
            ),
            # Small events to a caller that vanished silently would take minutes to fill
            # the kernel's buffer, so the write timeout alone is too late.
            (
                standard_socket.IPPROTO_TCP,
                standard_socket.TCP_USER_TIMEOUT,
                user_timeout_ms,
            ),
        )
        for level, name, value in options:
            try:
                self._socket.setsockopt(level, name, value)
            except OSError:
                # The caller has disconnected already; the reader will notice it.
                return
