"""Calls of an engine, which can be asked again by request id."""

from urllib.parse import quote

import curio

from siskinthread.errors import ConnectionLostError, TargetError
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.targets._calls import broken_end, Call

EVENT_STREAM = "text/event-stream"
STREAM_END = b"data: [DONE]"
TAIL_SIZE_BYTES = 64
NOT_FOUND = 404
OK = 200


class EngineCall(Call):
    """A call of an engine, resumed by request id when a connection breaks.

    A response that makes no progress over ``resume_limit`` connections in a row is
    given up and cancelled at the engine.
    """

    __slots__ = ("_asked_again", "_tail")

    def __init__(self, target, request, offset_bytes=0):
        super().__init__(target, request, offset_bytes)
        self._asked_again = 0
        self._tail = b""

    def _request_headers(self):
        headers = super()._request_headers()
        headers.append(("x-priority", str(self.request.priority)))
        headers.append(("x-account", self.request.account))
        return headers

    async def _advance(self):
        if self.written and self._connection is None:
            return await self._go_on()
        return await super()._advance()

    async def _go_on(self):
        head = await self._ask_for_rest()
        if head.status == NOT_FOUND and not self._had_status(NOT_FOUND):
            await self._drop_connection()
            return broken_end(self, "unknown to the engine")
        if self.head is None:
            self.head = head
            return head
        if head.status != self.head.status:
            raise TargetError(f"resumed with status {head.status}")
        return await super()._advance()

    async def _ask_for_rest(self):
        self._connection = await self.target.pool.take(idempotent=True)
        path = f"{_request_path(self.request.request_id)}?offset={self._offset_bytes}"
        headers = [self.target.host_header()]
        await self._connection.send_request("GET", path, headers, b"")
        head = await self._connection.receive_head()
        if self._offset_bytes:
            # It is the length of the rest, not that of the body.
            head.headers = [
                pair for pair in head.headers if pair[0] != "content-length"
            ]
        return head

    def _had_status(self, status):
        return self.head is not None and self.head.status == status

    async def _broken(self, message):
        if not self.written:
            return broken_end(self, message)
        if self._asked_again >= self.target.settings.resume_limit:
            await self._cancel_at_engine()
            return broken_end(self, message)
        self._asked_again += 1
        await curio.sleep(self.target.settings.resume_wait_s)
        return None

    def _part(self, data):
        self._asked_again = 0
        self._tail = (self._tail + data)[-TAIL_SIZE_BYTES:]
        return super()._part(data)

    def _whole(self):
        # An engine that is shut down may end its stream in good HTTP order.  Only the
        # closing event proves that the answer is whole.
        if self._is_stream() and not self._tail.rstrip().endswith(STREAM_END):
            return End(
                Outcome.FAILED_RAN, Reason.TARGET_FAILED, "stream ended without [DONE]"
            )
        return super()._whole()

    def _is_stream(self):
        types = [value for name, value in self.head.headers if name == "content-type"]
        return self.head.status == OK and any(EVENT_STREAM in text for text in types)

    async def cancel(self):
        """Stop the call and the work at the engine."""
        await self._drop_connection()
        if self.written and await self._cancel_at_engine():
            return Outcome.FAILED_RAN
        return broken_end(self, "").outcome

    async def _cancel_at_engine(self):
        """Cancel by request id; True if the engine confirmed that it had it."""
        try:
            path = _request_path(self.request.request_id)
            status, _ = await self.target.control("DELETE", path)
        except (TargetError, ConnectionLostError):
            return False
        return status == OK


def _request_path(request_id):
    return f"/v1/requests/{quote(request_id, safe='')}"
