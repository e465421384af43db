"""Answers the configuration requests of peers."""

import curio

from siskinthread.observability import part_logger
from siskinthread.wire import encode_frame, Frame

_LOG = part_logger("control")


class AnswerQueue:
    """Queue of unanswered requests, at most the newest one of each link.

    Parameters
    ----------
    answer : callable
        Coroutine function from `ConfigurationRequest` to `ConfigurationUpdate`.
    frame_limit_bytes : int
        Longest frame that peers accept; longer answers are dropped.

    Notes
    -----
    One task answers all requests.  An answer waits for a thread and for the lock of the
    folded state, which can take tens of milliseconds; in the task that reads a link,
    this would delay the requests and heartbeats on that link.
    """

    __slots__ = ("_answer", "_frame_limit_bytes", "_questions", "_pending")

    def __init__(self, answer, frame_limit_bytes):
        self._answer = answer
        self._frame_limit_bytes = frame_limit_bytes
        self._questions = {}
        self._pending = curio.Event()

    async def put(self, link, request):
        """Queue a request; it replaces an unanswered one of the same link."""
        self._questions[link] = request
        await self._pending.set()

    def drop(self, link):
        """Discard the request of a link that is down."""
        self._questions.pop(link, None)

    async def run(self):
        """Answer requests until cancelled."""
        while True:
            await self._pending.wait()
            self._pending.clear()
            while self._questions:
                link = next(iter(self._questions))
                request = self._questions.pop(link)
                await self._send(link, await self._answer(request))

    async def _send(self, link, update):
        frame = Frame(configuration_update=update)
        size_bytes = len(encode_frame(frame))
        if size_bytes > self._frame_limit_bytes:
            # The peer would close the link, with every stream on it, because of the
            # frame, and would ask again on the next link.
            _LOG.error(
                "Configuration answer of %d bytes exceeds the frame limit; not sent.",
                size_bytes,
            )
            return
        await link.send(frame)
