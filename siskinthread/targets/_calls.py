"""Calls of a target: from a request to the events of its response.

A connection that fails before a byte of the request was written proves that the request
did not run.  After the first byte nothing proves that, so the outcome is unknown unless
the target can be queried.
"""

from siskinthread.errors import AnswerTooLongError, ConnectionLostError, TargetError
from siskinthread.outcomes import End, Outcome, Part, Reason
from siskinthread.targets._connection import HOP_BY_HOP_HEADERS

REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "x-account",
    "x-priority",
    "x-request-id",
}


class Call:
    """One request at a target; ``next_event`` returns `Head`, `Part` ..., `End`.

    Parameters
    ----------
    target : Target
        The target.
    request : TargetRequest
        The request.
    offset_bytes : int
        Offset of the first byte of the body to be returned.
    """

    __slots__ = (
        "_connection",
        "_offset_bytes",
        "head",
        "request",
        "target",
        "written",
    )

    def __init__(self, target, request, offset_bytes=0):
        self.target = target
        self.request = request
        self.head = None
        self.written = False
        self._connection = None
        self._offset_bytes = offset_bytes

    async def next_event(self):
        """Return the next event; the last one is an `End`."""
        event = None
        while event is None:
            try:
                event = await self._advance()
            except AnswerTooLongError as error:
                await self._discard_connection()
                event = await self._give_up(str(error))
            except (TargetError, ConnectionLostError) as error:
                await self._discard_connection()
                event = await self._handle_failure(str(error))
        return event

    async def _advance(self):
        if self.head is None:
            return await self._send_request()
        data = await self._connection.receive_data()
        if data is not None:
            return self._part(data)
        await self._release_connection()
        return self._complete_end()

    async def _send_request(self):
        self._connection = await self.target.pool.acquire(self.request.idempotent)
        try:
            await self._connection.send_request(
                self.request.method,
                self.request.path,
                self._request_headers(),
                self.request.body,
            )
        finally:
            # The task may be cancelled within the write as well.
            self.written = self._connection.written
        self.head = await self._connection.receive_head()
        return self.head

    def _part(self, data):
        part = Part(self._offset_bytes, data)
        self._offset_bytes += len(data)
        return part

    def _complete_end(self):
        return End(Outcome.ANSWERED, Reason.COMPLETE, length_bytes=self._offset_bytes)

    async def _handle_failure(self, message):
        """Return the end after a failure; None to continue."""
        return failure_end(self, message)

    async def _give_up(self, message):
        """Return the end after a response that exceeds its limits."""
        return failure_end(self, message)

    def _request_headers(self):
        headers = [self.target.host_header()]
        headers += [
            pair
            for pair in self.request.headers
            if pair[0].lower() not in REPLACED_HEADERS
        ]
        headers.append(("content-length", str(len(self.request.body))))
        headers.append(("x-request-id", self.request.request_id))
        return headers

    async def cancel(self):
        """Cancel the call.

        Returns
        -------
        Outcome
            Known outcome of the request.
        """
        await self._discard_connection()
        return failure_end(self, "").outcome

    async def _release_connection(self):
        connection, self._connection = self._connection, None
        await self.target.pool.release(connection)

    async def _discard_connection(self):
        connection, self._connection = self._connection, None
        if connection is not None:
            self.written = self.written or connection.written
            await self.target.pool.discard(connection)


def failure_end(call, message):
    """Return the end of a call whose connection failed, as far as it is known."""
    if not call.written:
        return End(Outcome.REFUSED_NOT_RUN, Reason.TARGET_UNREACHABLE, message)
    if call.head is None:
        return End(Outcome.UNKNOWN, Reason.TARGET_SILENT, message)
    return End(Outcome.FAILED_RAN, Reason.TARGET_FAILED, message)


class PlainCall(Call):
    """A call of a plain service, which can't be queried after a failure."""

    __slots__ = ()

    def _request_headers(self):
        headers = super()._request_headers()
        if self.request.idempotency_key is not None:
            headers.append(("idempotency-key", self.request.idempotency_key))
        return headers
