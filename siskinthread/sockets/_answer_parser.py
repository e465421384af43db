"""Parsing of answers with the grammar of their heads in full."""

import re

import h11

# Control bytes, a carriage return without a line feed, and lines that begin with white
# space, by which a line was once continued.
ODD_HEAD = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|\n[ \t]")
HEADS = (h11.Response, h11.InformationalResponse)
MAJOR_VERSION = b"1."
STATUS_LIMIT = 600
# Odd bytes that are shown in an error.
SHOWN_BYTES = 40


class AnswerParser(h11.Connection):
    """The client's side of one connection, which refuses malformed heads of answers.

    Parameters
    ----------
    **limits
        Limits, as for `h11.Connection`.

    Notes
    -----
    h11 is lenient: it joins a line that begins with white space to the one before, and
    accepts control bytes in values.  Passed on, such a head means something else to
    another reader.  RFC 9112, section 5.2, lets a proxy reject a folded line.

    `next_event` raises `h11.RemoteProtocolError` for a malformed head.
    """

    def __init__(self, **limits):
        super().__init__(h11.CLIENT, **limits)
        # Bytes since the end of the last head, until the next head is complete.
        self._head_data = bytearray()

    def receive_data(self, data):
        """Add received bytes; empty at the end of the connection."""
        if self.their_state is h11.SEND_RESPONSE:
            self._head_data += data
        super().receive_data(data)

    def next_event(self):
        """Return the next event, as `h11.Connection` does."""
        event = super().next_event()
        if isinstance(event, HEADS):
            self._check_head(event)
        return event

    def _check_head(self, head):
        rest = self.trailing_data[0]
        data, self._head_data = self._head_data, bytearray()
        if isinstance(head, h11.InformationalResponse):
            self._head_data += rest
        odd = ODD_HEAD.search(data, 0, len(data) - len(rest))
        if odd is not None:
            shown = bytes(data[max(0, odd.start() - SHOWN_BYTES) : odd.end()])
            raise h11.RemoteProtocolError(f"malformed head of an answer: {shown!r}")
        if not head.http_version.startswith(MAJOR_VERSION):
            raise h11.RemoteProtocolError(f"version {head.http_version!r} of HTTP")
        if head.status_code >= STATUS_LIMIT:
            raise h11.RemoteProtocolError(f"status {head.status_code}")
