"""The links of this process as ways to ask peers for their configuration."""

import curio

from siskinthread.configuration import is_whole_status


class PeerLink:
    """What is known of the peer at the other end of a link.

    Parameters
    ----------
    link : object
        As `LinkListener` describes it.

    Attributes
    ----------
    offset : int or None
        Last record that the peer said it has folded.
    judged_offset : int or None
        Its offset as the last question shows it: by the answer, or without one as it
        was known when the question was put.
    fruitless_offset : int or None
        The judged offset of the last question that nothing came of.
    """

    __slots__ = (
        "_answer",
        "_answered",
        "_question",
        "fruitless_offset",
        "judged_offset",
        "link",
        "offset",
    )

    def __init__(self, link):
        self.link = link
        self.offset = None
        self.judged_offset = None
        self.fruitless_offset = None
        self._question = None
        self._answer = None
        self._answered = curio.Event()

    @property
    def host(self):
        """Name of the peer's host."""
        return self.link.peer_hello.host

    def is_ahead(self, offset):
        """Return whether asking the peer may bring records behind an offset.

        Notes
        -----
        A peer of another history stays ahead for good.  Without the second condition it
        would be asked again at each of its heartbeats.
        """
        if self.offset is None or self.offset <= offset:
            return False
        return self.fruitless_offset is None or self.offset > self.fruitless_offset

    async def ask(self, frame, wait_s):
        """Send a question; return the `ConfigurationUpdate`, None if none came in time.

        Parameters
        ----------
        frame : Frame
            With a ``configuration_request``.
        wait_s : float
            Longest wait for the answer.
        """
        self._question = frame.configuration_request
        self._answer = None
        self._answered.clear()
        self.judged_offset = self.offset
        await self.link.send(frame)
        await curio.ignore_after(wait_s, self._answered.wait)
        self._question = None
        return self._answer

    async def take_answer(self, update):
        """Hand an answer to the task that waits for it, if it's the one asked for."""
        if self._question is None or not _same(update.base, self._question.status):
            # An answer that came too late for an earlier question.
            return
        self._answer = update
        if is_whole_status(update.status):
            self.judged_offset = update.status.applied_offset
        await self._answered.set()

    async def give_up(self):
        """Wake the task that waits for an answer, which can't come any more."""
        await self._answered.set()


def _same(base, status):
    return (
        base is not None
        and base.applied_offset == status.applied_offset
        and base.chain == status.chain
    )
