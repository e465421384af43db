"""Configuration requests to peers over the links of this process."""

import curio

from siskinthread.configuration import is_complete_status


class PeerLink:
    """State of the peer at the other end of a link.

    Parameters
    ----------
    link : object
        A link as described in the notes of `LinkListener`.

    Attributes
    ----------
    offset : int or None
        Last record that the peer reported as applied.
    asked_offset : int or None
        The peer's offset as of the last question: from the answer or, if none came,
        the offset that was known when the question was sent.
    unproductive_offset : int or None
        `asked_offset` of the last question that brought no new records.
    """

    __slots__ = (
        "_answer",
        "_answered",
        "_question",
        "unproductive_offset",
        "asked_offset",
        "link",
        "offset",
    )

    def __init__(self, link):
        self.link = link
        self.offset = None
        self.asked_offset = None
        self.unproductive_offset = None
        self._question = None
        self._answer = None
        self._answered = curio.Event()

    @property
    def host(self):
        """Name of the peer's host on the host list."""
        return self.link.peer_hello.host

    def is_ahead(self, offset):
        """Return whether the peer may have records after an offset.

        Notes
        -----
        A peer with a diverged history stays ahead permanently.  Without the check of
        `unproductive_offset` it would be asked again after each of its heartbeats.
        """
        if self.offset is None or self.offset <= offset:
            return False
        return (
            self.unproductive_offset is None or self.offset > self.unproductive_offset
        )

    async def ask(self, frame, wait_s):
        """Send a question and return the `ConfigurationUpdate`, or None on a timeout.

        Parameters
        ----------
        frame : Frame
            A frame with a ``configuration_request``.
        wait_s : float
            Longest wait for the answer, seconds.
        """
        self._question = frame.configuration_request
        self._answer = None
        self._answered.clear()
        self.asked_offset = self.offset
        await self.link.send(frame)
        await curio.ignore_after(wait_s, self._answered.wait)
        self._question = None
        return self._answer

    async def take_answer(self, update):
        """Pass an answer to the waiting task if it matches the pending question."""
        if self._question is None or not _same(update.base, self._question.status):
            # A late answer to an earlier question.
            return
        self._answer = update
        if is_complete_status(update.status):
            self.asked_offset = update.status.applied_offset
        await self._answered.set()

    async def abandon_question(self):
        """Wake the waiting task without an answer, as the link is down."""
        await self._answered.set()


def _same(base, status):
    return (
        base is not None
        and base.applied_offset == status.applied_offset
        and base.chain == status.chain
    )
