"""Connection of one entry, with a task each for reading, writing and heartbeats."""

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
        The entry's host and incarnation.
    server : AgentServer
        The server that accepted the connection.

    Attributes
    ----------
    attempts : set of Attempt
        The attempts that are written to this connection.
    closed : bool
        Whether the connection has been shut down; no more frames are handled.
    """

    __slots__ = (
        "_channel",
        "_clock",
        "_control_frames",
        "_pending_attempts",
        "_heartbeat_sequence",
        "_server",
        "_settings",
        "_silence_deadline",
        "_flush_now",
        "_work_available",
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
        self._control_frames = []
        self._pending_attempts = {}
        self._flush_now = curio.Event()
        self._work_available = curio.Event()
        self.attempts = set()
        self.handler = server.handler
        self.closed = False
        self.control = server.control
        self.peer_hello = entry_hello
        self._heartbeat_sequence = 0
        self.entry_host = entry_hello.host
        self.entry_incarnation = entry_hello.incarnation
        self._note_received()

    async def run(self, first_frames):
        """Serve the connection until it is lost.

        Parameters
        ----------
        first_frames : list of Frame
            Frames that arrived together with the handshake.

        Raises
        ------
        ConnectionLostError, ProtocolError
            Always, when the connection ends.
        """
        async with curio.TaskGroup(wait=object) as group:
            await group.spawn(_catch_link_error, self._write)
            await group.spawn(_catch_link_error, self._send_heartbeats)
            await group.spawn(_catch_link_error, self._read, first_frames)
        raise group.exception or group.result

    def _note_received(self):
        wait_s = self._server.peer_settings.silence_limit_s
        self._silence_deadline = Deadline.after(self._clock, wait_s)

    async def _read(self, frames):
        while True:
            # A process that was paused finds old frames in its sockets.  The entry may
            # have given up a start frame among them long ago, so the silence deadline
            # is checked before any frame is handled.
            if self._silence_deadline.passed():
                raise ConnectionLostError("no frame arrived within the silence limit")
            self._note_received()
            for frame in frames:
                if self.closed:
                    raise ConnectionLostError("replaced by a newer connection")
                await receive(message_of(frame), self)
            frames = await self._channel.receive()

    async def _send_heartbeats(self):
        while not self._silence_deadline.passed():
            await self.send_heartbeat()
            await curio.sleep(self._server.peer_settings.heartbeat_interval_s)
        raise ConnectionLostError("no frame arrived within the silence limit")

    async def _write(self):
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            while (data := self._take_batch()) != b"":
                await self._channel.send_bytes(data)
            if self.attempts:
                await self._coalesce_parts()

    async def _coalesce_parts(self):
        """Wait up to `coalesce_wait_s`, or until a frame must be written at once.

        Without the wait, each token of each stream would cost a system call here and a
        read at the entry.  The first part and the end of a response are not delayed,
        as their caller would notice.
        """
        self._flush_now.clear()
        wait_s = self._settings.coalesce_wait_s
        await curio.ignore_after(wait_s, self._flush_now.wait)

    def _take_batch(self):
        pieces = self._control_frames
        self._control_frames = []
        size_bytes = sum(map(len, pieces))
        while self._pending_attempts and size_bytes < self._settings.write_limit_bytes:
            attempt = next(iter(self._pending_attempts))
            del self._pending_attempts[attempt]
            for frame in self._frames_of(attempt):
                data = encode_frame(frame)
                pieces.append(data)
                size_bytes += len(data)
            if attempt.sendable_bytes():
                self._pending_attempts[attempt] = True
        return b"".join(pieces)

    def _frames_of(self, attempt):
        execution = attempt.execution
        number = attempt.attempt_id.number
        frames = []
        if attempt.may_send_head():
            attempt.head_sent = True
            frames.append(Frame(head=_head_message(number, execution.head)))
        count = min(attempt.sendable_bytes(), self._settings.part_limit_bytes)
        if count:
            data = execution.buffer.read(attempt.sent_bytes, count)
            part = ResponsePart(number, attempt.sent_bytes, data)
            attempt.sent_bytes += count
            frames.append(Frame(part=part))
        if self._may_send_end(attempt):
            attempt.end_sent = True
            frames.append(Frame(end=_end_message(number, execution.end)))
        return frames

    def _may_send_end(self, attempt):
        execution = attempt.execution
        if not execution.ended or attempt.end_sent:
            return False
        return attempt.cancelled or attempt.sent_bytes == execution.buffer.end_bytes

    async def schedule_write(self, attempt):
        """Schedule a write of the frames that an attempt has to send."""
        self._pending_attempts[attempt] = True
        await self._work_available.set()
        if not attempt.sent_bytes or attempt.execution.ended:
            await self._flush_now.set()

    def drop_attempt(self, attempt):
        """Drop an attempt, so that nothing more is written for it."""
        self._pending_attempts.pop(attempt, None)
        self.attempts.discard(attempt)

    async def send(self, frame):
        """Queue a frame that is written at once, without coalescing."""
        await self._enqueue(frame)
        await self._flush_now.set()

    async def _enqueue(self, frame):
        self._control_frames.append(encode_frame(frame))
        await self._work_available.set()

    async def send_heartbeat(self):
        """Queue a heartbeat, which is written within `coalesce_wait_s`."""
        self._heartbeat_sequence += 1
        heartbeat = Heartbeat(
            sequence=self._heartbeat_sequence,
            load=self._server.load_report(),
            configuration_offset=self.control.configuration_offset(),
        )
        await self._enqueue(Frame(heartbeat=heartbeat))

    async def send_end(self, attempt_id, end):
        """Send the end of an attempt."""
        await self.send(Frame(end=_end_message(attempt_id.number, end)))

    async def send_leaving(self, deadline):
        """Announce to the entry that this agent takes no new requests."""
        await self.send(Frame(leaving=Leaving(time_left_ms=deadline.left_ms())))

    async def shut_down(self):
        """Shut down the connection; frames that are still in it are not handled."""
        self.closed = True
        await self._channel.shut_down()


async def _catch_link_error(coroutine_function, *arguments):
    # curio logs an exception that leaves a task as a crash, which a lost link is not.
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
