"""One entry's connection: a task reads it, one writes it, one sends heartbeats."""

import curio

from siskinthread.errors import ConnectionLostError, ProtocolError
from siskinthread.execution._receiving import receive
from siskinthread.timing import Deadline
from siskinthread.wire import (
    encode_frame,
    Frame,
    Header,
    Heartbeat,
    Leaving,
    message_of,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
)

MILLISECONDS_PER_SECOND = 1000


class Link:
    """One authenticated connection of an entry.

    Parameters
    ----------
    channel : Channel
        The connection.
    entry_hello : Hello
        Who the entry is.
    server : AgentServer
        What the link is part of.
    """

    __slots__ = (
        "_channel",
        "_clock",
        "_control",
        "_dirty",
        "_heartbeat_sequence",
        "_server",
        "_settings",
        "_silence_deadline",
        "_urgent",
        "_wake",
        "attempts",
        "closed",
        "control",
        "entry_host",
        "entry_incarnation",
        "handler",
        "peer_hello",
    )

    def __init__(self, channel, entry_hello, server):
        self._channel = channel
        self._server = server
        self._settings = server.settings
        self._clock = server.clock
        self._control = []
        self._dirty = {}
        self._urgent = curio.Event()
        self._wake = curio.Event()
        self.attempts = set()
        self.handler = server.handler
        self.closed = False
        self.control = server.control
        self.peer_hello = entry_hello
        self._heartbeat_sequence = 0
        self.entry_host = entry_hello.host
        self.entry_incarnation = entry_hello.incarnation
        self._heard()

    async def run(self, first_frames):
        """Serve the connection until it is lost.

        Parameters
        ----------
        first_frames : list of Frame
            Frames that arrived right behind the handshake.

        Raises
        ------
        ConnectionLostError, ProtocolError
            In the end, always.
        """
        async with curio.TaskGroup(wait=object) as group:
            await group.spawn(_error_of, self._write)
            await group.spawn(_error_of, self._send_heartbeats)
            await group.spawn(_error_of, self._read, first_frames)
        raise group.exception or group.result

    def _heard(self):
        wait_s = self._server.peer_settings.silence_limit_s
        self._silence_deadline = Deadline.after(self._clock, wait_s)

    async def _read(self, frames):
        while True:
            # A process that was paused finds old frames in its sockets.  A start frame
            # among them may have been given up long ago, so a connection that was
            # silent for too long is dropped before its frames are looked at.
            if self._silence_deadline.passed():
                raise ConnectionLostError("silent past the limit")
            self._heard()
            for frame in frames:
                if self.closed:
                    raise ConnectionLostError("replaced by a newer connection")
                await receive(message_of(frame), self)
            frames = await self._channel.receive()

    async def _send_heartbeats(self):
        while not self._silence_deadline.passed():
            await self.send_heartbeat()
            await curio.sleep(self._server.peer_settings.heartbeat_interval_s)
        raise ConnectionLostError("silent past the limit")

    async def _write(self):
        while True:
            await self._wake.wait()
            self._wake.clear()
            while (data := self._gather()) != b"":
                await self._channel.send_bytes(data)
            if self.attempts:
                await self._let_parts_gather()

    async def _let_parts_gather(self):
        """Wait a little, unless something urgent comes.

        Without the wait, each token of each stream would cost a system call here and a
        read at the entry.  A caller that waits for its first token or its end would
        notice the wait.
        """
        self._urgent.clear()
        wait_s = self._settings.coalesce_wait_s
        await curio.ignore_after(wait_s, self._urgent.wait)

    def _gather(self):
        pieces = self._control
        self._control = []
        size_bytes = sum(map(len, pieces))
        while self._dirty and size_bytes < self._settings.write_limit_bytes:
            attempt = next(iter(self._dirty))
            del self._dirty[attempt]
            for frame in self._frames_of(attempt):
                data = encode_frame(frame)
                pieces.append(data)
                size_bytes += len(data)
            if attempt.sendable_bytes():
                self._dirty[attempt] = True
        return b"".join(pieces)

    def _frames_of(self, attempt):
        execution = attempt.execution
        number = attempt.attempt_id.number
        frames = []
        if attempt.wants_head():
            attempt.head_sent = True
            frames.append(Frame(head=_head_message(number, execution.head)))
        count = min(attempt.sendable_bytes(), self._settings.part_limit_bytes)
        if count:
            data = execution.buffer.read(attempt.sent_bytes, count)
            part = ResponsePart(number, attempt.sent_bytes, data)
            attempt.sent_bytes += count
            frames.append(Frame(part=part))
        if self._is_at_end(attempt):
            attempt.end_sent = True
            frames.append(Frame(end=_end_message(number, execution.end)))
        return frames

    def _is_at_end(self, attempt):
        execution = attempt.execution
        if not execution.ended or attempt.end_sent:
            return False
        return attempt.cancelled or attempt.sent_bytes == execution.buffer.end_bytes

    async def mark(self, attempt):
        """Write what an attempt has to send."""
        self._dirty[attempt] = True
        await self._wake.set()
        if not attempt.sent_bytes or attempt.execution.ended:
            await self._urgent.set()

    def forget(self, attempt):
        """Write nothing more for an attempt."""
        self._dirty.pop(attempt, None)
        self.attempts.discard(attempt)

    async def send(self, frame):
        """Write a frame as soon as possible."""
        await self._put(frame)
        await self._urgent.set()

    async def _put(self, frame):
        self._control.append(encode_frame(frame))
        await self._wake.set()

    async def send_heartbeat(self):
        """Send a heartbeat now, within `coalesce_wait_s`."""
        self._heartbeat_sequence += 1
        heartbeat = Heartbeat(
            sequence=self._heartbeat_sequence,
            load=self._server.load_report(),
            configuration_offset=self.control.configuration_offset(),
        )
        await self._put(Frame(heartbeat=heartbeat))

    async def send_end(self, attempt_id, end):
        """Tell an attempt its end."""
        await self.send(Frame(end=_end_message(attempt_id.number, end)))

    async def send_leaving(self, deadline):
        """Tell the entry that this agent takes no new work."""
        await self.send(Frame(leaving=Leaving(time_left_ms=deadline.left_ms())))

    async def shut_down(self):
        """End the connection; frames that it still holds are not looked at."""
        self.closed = True
        await self._channel.shut_down()


async def _error_of(coroutine_function, *arguments):
    # Losing a link is no crash of a task, as which curio would log an exception.
    try:
        await coroutine_function(*arguments)
    except (ConnectionLostError, ProtocolError) as error:
        return error


def _head_message(number, head):
    headers = [Header(name, value) for name, value in head.headers]
    return ResponseHead(number, head.status, headers)


def _end_message(number, end):
    retry_after_ms = None
    if end.retry_after_s is not None:
        retry_after_ms = int(end.retry_after_s * MILLISECONDS_PER_SECOND)
    return ResponseEnd(
        attempt=number,
        outcome=int(end.outcome),
        length_bytes=end.length_bytes,
        reason=str(end.reason),
        message=end.message,
        retry_after_ms=retry_after_ms,
    )
