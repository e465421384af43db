"""Receiving of an answer within limits, without holding up other tasks."""

import curio

from siskinthread.errors import AnswerTooLongError
from siskinthread.timing import SYSTEM_CLOCK

ANSWER_SIZE_LIMIT_BYTES = 64 * 1024 * 1024
ANSWER_PARTS_LIMIT = 100_000
# Maximum number of 1xx responses before an answer.
INFORMATIONAL_LIMIT = 8
RECEIVE_SIZE_BYTES = 65_536
# Parts that are processed before other tasks get a turn.
PARTS_PER_TURN = 64
# Parts of an answer after which the reader also pauses between turns, so that it leaves
# most of the processor to other tasks.
UNPACED_PARTS = 8192
PACE_S = 0.005
# Receives of fewer bytes are limited to a rate, above which the bytes of several are
# collected first: each costs as much as one of 64 KB.
SMALL_RECEIVE_BYTES = 64
SMALL_RECEIVES_BURST = 64
SMALL_RECEIVES_PER_S = 500
COLLECTING_S = 0.01


class AnswerReceiver:
    """Receives the bytes of one answer after the other on a connection.

    Parameters
    ----------
    sock : curio.io.Socket
        The connection.
    size_limit_bytes : int
        Maximum size of an answer with its head and framing, bytes.
    parts_limit : int
        Maximum number of parts of an answer, such as chunks.

    Notes
    -----
    A receive does not suspend its task while bytes are available.  A server that sends
    without end would therefore keep all other tasks of the process from running, and
    the timeouts and cancellation of its own reader from taking effect.
    """

    __slots__ = (
        "_credit",
        "_credit_at_s",
        "_parts_count",
        "_parts_limit",
        "_size_bytes",
        "_size_limit_bytes",
        "_socket",
        "_was_ready",
    )

    def __init__(
        self,
        sock,
        size_limit_bytes=ANSWER_SIZE_LIMIT_BYTES,
        parts_limit=ANSWER_PARTS_LIMIT,
    ):
        self._socket = sock
        self._size_limit_bytes = size_limit_bytes
        self._parts_limit = parts_limit
        self._size_bytes = 0
        self._parts_count = 0
        # Whether the last receive found its bytes without suspending the task.
        self._was_ready = False
        # Small receives that may still follow at once.
        self._credit = SMALL_RECEIVES_BURST
        self._credit_at_s = SYSTEM_CLOCK.monotonic_s()

    def begin_answer(self):
        """Count the bytes and parts of the next answer from zero."""
        self._size_bytes = 0
        self._parts_count = 0

    async def receive(self):
        """Return the next bytes; empty at the end of the connection.

        Raises
        ------
        AnswerTooLongError
            If the answer exceeds its size limit.
        OSError
            If the connection failed.
        """
        if self._credit < 0:
            await curio.sleep(COLLECTING_S)
        elif self._was_ready:
            await curio.sleep(0)
        task = await curio.current_task()
        cycles_before = task.cycles
        data = await self._socket.recv(RECEIVE_SIZE_BYTES)
        self._was_ready = task.cycles == cycles_before
        self._size_bytes += len(data)
        if self._size_bytes > self._size_limit_bytes:
            limit_bytes = self._size_limit_bytes
            raise AnswerTooLongError(f"the answer is over {limit_bytes} bytes")
        if len(data) < SMALL_RECEIVE_BYTES:
            self._note_small_receive()
        return data

    async def note_part(self):
        """Count a part of the answer; let other tasks run after some of them.

        Raises
        ------
        AnswerTooLongError
            If the answer exceeds its number of parts.
        """
        self._parts_count += 1
        if self._parts_count > self._parts_limit:
            raise AnswerTooLongError(f"the answer has over {self._parts_limit} parts")
        if self._parts_count % PARTS_PER_TURN == 0:
            await curio.sleep(0 if self._parts_count <= UNPACED_PARTS else PACE_S)

    def _note_small_receive(self):
        now_s = SYSTEM_CLOCK.monotonic_s()
        regained = (now_s - self._credit_at_s) * SMALL_RECEIVES_PER_S
        self._credit = min(SMALL_RECEIVES_BURST, self._credit + regained) - 1
        self._credit_at_s = now_s
