"""Input and output of one caller's socket, with time limits."""

import socket as standard_socket

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.http_server._input_memory import CONNECTION_BYTES
from siskinthread.http_server._phase import (
    Ending,
    ENDING_BY_PHASE,
    Phase,
    WAITING_PHASES,
)
from siskinthread.sockets import reset

# Bytes that count as progress, however slowly others follow.
PROGRESS_BYTES = 4096
MILLISECONDS_PER_SECOND = 1000
# The kernel makes the buffers of a socket twice as large as requested. A blocked write
# has filled that for sending.
KERNEL_BUFFER_FACTOR = 2


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
    group : CallerGroup
        The connections of the server.

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
    progressed_at_s : float
        When the caller last went on to another phase or sent `PROGRESS_BYTES` more,
        monotonic seconds.
    """

    __slots__ = (
        "_input_changed",
        "_clock",
        "_group",
        "_head_bytes",
        "_incoming",
        "_incoming_bytes",
        "_interrupted",
        "_is_awaited",
        "_limit_passed",
        "_progress_bytes",
        "_reader",
        "_buffer_space",
        "_serving_task",
        "_settings",
        "_socket",
        "_unused_bytes",
        "caller_left",
        "ending",
        "expires_at_s",
        "phase",
        "progressed_at_s",
        "unsent_bytes",
        "write_started_at_s",
    )

    def __init__(self, socket, settings, clock, group):
        self._socket = socket
        self._settings = settings
        self._clock = clock
        self._group = group
        self._unused_bytes = 0
        self._head_bytes = 0
        self._incoming = bytearray()
        self._incoming_bytes = 0
        self._is_awaited = True
        self._progress_bytes = 0
        self.progressed_at_s = clock.monotonic_s()
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

    @property
    def is_waiting(self):
        """Whether the connection is served and waits for its caller."""
        return self._serving_task is not None and self.phase in WAITING_PHASES

    @property
    def has_input(self):
        """Whether bytes have arrived that were not returned yet."""
        return self._incoming_bytes > 0

    def join(self):
        """Count the connection among those of its server."""
        self._group.join(self)
        self._count_input()

    async def open(self):
        """Set socket options and start reading; called by the serving task."""
        self._set_socket_options()
        self._serving_task = await curio.current_task()
        self._reader = await curio.spawn(self._read_ahead, daemon=True)

    async def close(self):
        """Stop reading and close the socket."""
        await self._stop_reading()
        await self._socket.close()

    async def abort(self):
        """Stop reading and reset the connection because its answer is incomplete."""
        await self._stop_reading()
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

    async def evict(self):
        """End a connection that waits for its caller, to make room for others."""
        self._group.leave(self)
        await self._interrupt(Ending.MEMORY)

    async def end_waiting(self):
        """End the wait for input, which then returns as at a time limit."""
        self._is_awaited = False
        await self._input_changed.set()

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
        self._is_awaited = True
        self._limit_passed = False
        self.progressed_at_s = self._clock.monotonic_s()
        self.expires_at_s = self.progressed_at_s + limit_s

    def enter_answer(self):
        """Enter the wait for the answer, which has its own deadline."""
        self.phase = Phase.ANSWER
        self.expires_at_s = None

    async def hold_head(self, size_bytes):
        """Count the memory of the head of the current request; 0 bytes without one."""
        self._head_bytes = size_bytes
        self._count_input()
        if self._group.memory.is_over:
            await self._group.memory.make_room()

    async def receive(self, unused_bytes=0):
        """Return the next bytes from the caller.

        Parameters
        ----------
        unused_bytes : int
            Number of earlier bytes that the reader of the input still holds.

        Returns
        -------
        bytes or None
            Empty at the end of the input; None if the phase's time limit has passed or
            the input is no longer awaited.
        """
        self._unused_bytes = unused_bytes
        self._count_input()
        while not self._incoming:
            if self.caller_left:
                return b""
            if not self._is_awaited:
                return None
            if self._limit_passed:
                self.ending = self.ending or ENDING_BY_PHASE[self.phase]
                return None
            self._input_changed.clear()
            await self._input_changed.wait()
        data = bytes(self._incoming)
        self._incoming.clear()
        self._incoming_bytes = 0
        self._unused_bytes += len(data)
        self._progress_bytes += len(data)
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progressed_at_s = self._clock.monotonic_s()
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
        limit_bytes = self._settings.pipelined_limit_bytes
        while not self.caller_left:
            await self._read_some(limit_bytes - self._incoming_bytes)
            self._count_input()
            await self._input_changed.set()
            if self.caller_left and self.phase in (Phase.ANSWER, Phase.WRITE):
                await self._interrupt(Ending.CALLER_LEFT)
            if self._group.memory.is_over:
                await self._group.memory.make_room()
            while self._incoming_bytes >= limit_bytes:
                self._buffer_space.clear()
                await self._buffer_space.wait()

    async def _read_some(self, limit_bytes):
        # No other task runs between the read and the copy out of the shared buffer.
        buffer = self._group.receive_buffer
        try:
            size_bytes = await self._socket.recv_into(buffer[:limit_bytes])
        except OSError:
            size_bytes = 0
        self._incoming += buffer[:size_bytes]
        self._incoming_bytes += size_bytes
        self.caller_left = not size_bytes

    def _count_input(self):
        """Count the memory of the connection, its request's head and unused input."""
        size_bytes = self._incoming_bytes + self._unused_bytes + self._head_bytes
        if size_bytes or self.phase is not Phase.IDLE:
            size_bytes += KERNEL_BUFFER_FACTOR * self._settings.receive_buffer_bytes
        self._group.memory.count(self, CONNECTION_BYTES + size_bytes)

    async def _stop_reading(self):
        self._group.leave(self)
        if self._reader is not None:
            await self._reader.cancel()
        # Tasks and connection refer to each other; their memory is needed before the
        # garbage collector finds them.
        self._reader = None
        self._serving_task = None
        self._incoming.clear()

    async def _interrupt(self, ending):
        """Cancel the serving task, which waits for an answer or for buffer space.

        Only the first interruption has an effect, as curio cancels a task only once.
        """
        if not self._interrupted and self._serving_task is not None:
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
