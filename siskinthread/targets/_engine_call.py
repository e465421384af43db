"""Calls of an engine, which can be resumed by request id."""

from urllib.parse import quote

import curio

from siskinthread.errors import ConnectionLostError, TargetError
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.targets._calls import Call, failure_end

EVENT_STREAM = "text/event-stream"
STREAM_END = b"data: [DONE]"
TAIL_SIZE_BYTES = 64
NOT_FOUND = 404
OK = 200


class EngineCall(Call):
    """A call of an engine, resumed by request id when a connection fails.

    A response that makes no progress over ``resume_limit`` consecutive connections is
    given up and cancelled at the engine.
    """

    __slots__ = ("_resume_count", "_tail")

    def __init__(self, target, request, offset_bytes=0):
        super().__init__(target, request, offset_bytes)
        self._resume_count = 0
        self._tail = b""

    def _request_headers(self):
        headers = super()._request_headers()
        headers.append(("x-priority", str(self.request.priority)))
        headers.append(("x-account", self.request.account))
        return headers

    async def _advance(self):
        if self.written and self._connection is None:
            return await self._resume()
        return await super()._advance()

    async def _resume(self):
        head = await self._request_rest()
        if head.status == NOT_FOUND and not self._had_status(NOT_FOUND):
            await self._discard_connection()
            return failure_end(self, "unknown to the engine")
        if self.head is None:
            self.head = head
            return head
        if head.status != self.head.status:
            raise TargetError(f"resumed with status {head.status}")
        return await super()._advance()

    async def _request_rest(self):
        self._connection = await self.target.pool.acquire(idempotent=True)
        path = f"{_request_path(self.request.request_id)}?offset={self._offset_bytes}"
        headers = [self.target.host_header()]
        await self._connection.send_request("GET", path, headers, b"")
        head = await self._connection.receive_head()
        if self._offset_bytes:
            # The length of the rest, not of the body.
            head.headers = [
                pair for pair in head.headers if pair[0] != "content-length"
            ]
        return head

    def _had_status(self, status):
        return self.head is not None and self.head.status == status

    async def _handle_failure(self, message):
        if not self.written:
            return failure_end(self, message)
        if self._resume_count >= self.target.settings.resume_limit:
            await self._cancel_at_engine()
            return failure_end(self, message)
        self._resume_count += 1
        await curio.sleep(self.target.settings.resume_wait_s)
        return None

    async def _give_up(self, message):
        await self._cancel_at_engine()
        return failure_end(self, message)

    def _part(self, data):
        self._resume_count = 0
        self._tail = (self._tail + data)[-TAIL_SIZE_BYTES:]
        return super()._part(data)

    def _complete_end(self):
        # An engine that is shut down may end its stream with a valid end of the HTTP
        # body. Only the closing event proves that the answer is complete.
        if self._is_stream() and not self._tail.rstrip().endswith(STREAM_END):
            return End(
                Outcome.FAILED_RAN, Reason.TARGET_FAILED, "stream ended without [DONE]"
            )
        return super()._complete_end()

    def _is_stream(self):
        types = [value for name, value in self.head.headers if name == "content-type"]
        return self.head.status == OK and any(EVENT_STREAM in text for text in types)

    async def cancel(self):
        """Cancel the call, and the request at the engine."""
        await self._discard_connection()
        if self.written and await self._cancel_at_engine():
            return Outcome.FAILED_RAN
        return failure_end(self, "").outcome

    async def _cancel_at_engine(self):
        """Cancel by request id; return whether the engine knew the request."""
        try:
            path = _request_path(self.request.request_id)
            status, _ = await self.target.control("DELETE", path)
        except (TargetError, ConnectionLostError):
            return False
        return status == OK


def _request_path(request_id):
    return f"/v1/requests/{quote(request_id, safe='')}"
