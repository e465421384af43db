"""Answering the questions of peers."""

import curio

from siskinthread.observability import part_logger
from siskinthread.wire import encode_frame, Frame

_LOG = part_logger("control")


class AnswerQueue:
    """Questions that wait for an answer, the newest one of each link.

    Parameters
    ----------
    answer : callable
        Coroutine function from `ConfigurationRequest` to `ConfigurationUpdate`.
    frame_limit_bytes : int
        Longest frame that peers accept.

    Notes
    -----
    One task answers all: an answer waits for a thread and for the fold's lock, which
    can take tens of milliseconds.  In the task that reads a link, that would hold back
    the requests and heartbeats on it.
    """

    __slots__ = ("_answer", "_frame_limit_bytes", "_questions", "_some")

    def __init__(self, answer, frame_limit_bytes):
        self._answer = answer
        self._frame_limit_bytes = frame_limit_bytes
        self._questions = {}
        self._some = curio.Event()

    async def put(self, link, request):
        """Have a question answered; it replaces an older one of the link."""
        self._questions[link] = request
        await self._some.set()

    def drop(self, link):
        """Leave out the question of a link that is gone."""
        self._questions.pop(link, None)

    async def run(self):
        """Answer until cancelled."""
        while True:
            await self._some.wait()
            self._some.clear()
            while self._questions:
                link = next(iter(self._questions))
                request = self._questions.pop(link)
                await self._send(link, await self._answer(request))

    async def _send(self, link, update):
        frame = Frame(configuration_update=update)
        size_bytes = len(encode_frame(frame))
        if size_bytes > self._frame_limit_bytes:
            # The peer would close the link over it, with every stream on it, and ask
            # again over the next one.
            _LOG.error("An answer of %d bytes is too long to be sent.", size_bytes)
            return
        await link.send(frame)
