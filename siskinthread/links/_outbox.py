"""Queue of frames for one connection, and the task that writes them.

Only this task writes to the connection.  If a request's task wrote and were cancelled
in the middle of a frame, half of the frame would remain on the connection and the agent
would read the next frame from the wrong offset.
"""

import functools
from collections import deque

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline
from siskinthread.wire import encode_frame, Frame, Heartbeat

WRITE_SIZE_BYTES = 128 * 1024

logger = part_logger("links")


@functools.singledispatch
def frames_of(item, incarnation):
    """Return the frames to write for an item of an outbox.

    Called just before the write, so that the time left is exact and nothing is written
    for an exchange that has ended.

    Parameters
    ----------
    item : object
        A `Frame`, or an `Exchange` that is to be started or resumed.
    incarnation : str
        Incarnation of the agent at the other end.
    """
    raise TypeError(f"no frames for {type(item).__name__}")


@frames_of.register
def _(item: Frame, incarnation):
    return [item]


class Outbox:
    """Queue of frames for one connection.

    Parameters
    ----------
    channel : Channel
        An authenticated channel.
    settings : PeerSettings
        Interval of heartbeats.
    clock : Clock
        The process's clock.
    control : siskinthread.control.LinkListener
        Gives the configuration offset of this process for heartbeats.
    """

    __slots__ = (
        "_channel",
        "_clock",
        "_control",
        "_heartbeat_due",
        "_heartbeat_sequence",
        "_items",
        "_settings",
        "_wakeup",
        "_writer_is_waiting",
    )

    def __init__(self, channel, settings, clock, control):
        self._control = control
        self._channel = channel
        self._settings = settings
        self._clock = clock
        self._items = deque()
        self._wakeup = curio.Event()
        self._writer_is_waiting = False
        self._heartbeat_due = Deadline.after(clock, 0)
        self._heartbeat_sequence = 0

    async def put(self, item):
        """Queue a `Frame` or an `Exchange` without waiting for the write."""
        self._items.append(item)
        if self._writer_is_waiting:
            self._writer_is_waiting = False
            await self._wakeup.set()

    async def put_heartbeat(self):
        """Queue a heartbeat that is written at once."""
        self._heartbeat_due = Deadline.after(self._clock, 0)
        if self._writer_is_waiting:
            self._writer_is_waiting = False
            await self._wakeup.set()

    def unsent_finished_frames(self):
        """Return the queued acknowledgements that let the agent forget attempts."""
        frames = [item for item in self._items if isinstance(item, Frame)]
        return [frame for frame in frames if _is_finishing(frame)]

    async def run(self):
        """Write until cancelled or until the connection fails."""
        try:
            while True:
                self._add_heartbeat_if_due()
                if self._items:
                    await self._channel.send_bytes(self._take_batch())
                else:
                    await self._wait()
        except ConnectionLostError:
            # The reader may not notice that writes fail; the shutdown makes its receive
            # return.
            await self._channel.shut_down()
        except Exception:
            logger.exception("Unexpected error while writing to an agent.")
            await self._channel.shut_down()

    def _add_heartbeat_if_due(self):
        if not self._heartbeat_due.passed():
            return
        self._heartbeat_sequence += 1
        heartbeat = Heartbeat(
            sequence=self._heartbeat_sequence,
            configuration_offset=self._control.configuration_offset(),
        )
        self._items.append(Frame(heartbeat=heartbeat))
        interval_s = self._settings.heartbeat_interval_s
        self._heartbeat_due = Deadline.after(self._clock, interval_s)

    def _take_batch(self):
        chunks = []
        size_bytes = 0
        while self._items and size_bytes < WRITE_SIZE_BYTES:
            item = self._items.popleft()
            for frame in frames_of(item, self._channel.peer_hello.incarnation):
                chunk = encode_frame(frame)
                chunks.append(chunk)
                size_bytes += len(chunk)
        return b"".join(chunks)

    async def _wait(self):
        self._wakeup.clear()
        self._writer_is_waiting = True
        await curio.ignore_after(self._heartbeat_due.left_s(), self._wakeup.wait)
        self._writer_is_waiting = False


def _is_finishing(frame):
    return frame.acknowledge is not None and frame.acknowledge.finished
