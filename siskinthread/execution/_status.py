"""HTTP server for operators' tools: ``/metrics``, ``/healthz`` and ``/readyz``."""

import curio
import h11

from siskinthread.observability import part_logger

RECEIVE_SIZE_BYTES = 16 * 1024
REQUEST_WAIT_S = 5.0
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
TEXT_TYPE = "text/plain; charset=utf-8"
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503

_logger = part_logger("execution")


class StatusServer:
    """Answers one request per connection.

    Parameters
    ----------
    metrics : Metrics
        The process's metrics.
    unready_reason : callable
        Returns the reason why the process is not ready, or None if it is ready.
    """

    __slots__ = ("_metrics", "_unready_reason")

    def __init__(self, metrics, unready_reason):
        self._metrics = metrics
        self._unready_reason = unready_reason

    async def run(self, listening_socket):
        """Serve until cancelled.

        Parameters
        ----------
        listening_socket : curio.io.Socket
            A listening socket.
        """
        while True:
            socket, _ = await listening_socket.accept()
            await curio.spawn(self._serve, socket, daemon=True)

    async def _serve(self, socket):
        try:
            await curio.timeout_after(REQUEST_WAIT_S, self._answer, socket)
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as error:
            _logger.info("Status request failed: %r.", error)
        finally:
            await socket.close()

    async def _answer(self, socket):
        connection = h11.Connection(h11.SERVER)
        request = await _receive_request(connection, socket)
        if request is None:
            return
        status, content_type, body = self._page(request.target)
        headers = [
            ("content-type", content_type),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        head = h11.Response(status_code=status, headers=headers)
        data = connection.send(head)
        if request.method != b"HEAD":
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        await socket.sendall(data)

    def _page(self, path):
        if path == b"/metrics":
            return OK, METRICS_TYPE, self._metrics.render()
        if path == b"/healthz":
            return OK, TEXT_TYPE, b"alive\n"
        if path != b"/readyz":
            return NOT_FOUND, TEXT_TYPE, b"no such page\n"
        reason = self._unready_reason()
        if reason is None:
            return OK, TEXT_TYPE, b"ready\n"
        return UNAVAILABLE, TEXT_TYPE, f"not ready: {reason}\n".encode()


async def _receive_request(connection, socket):
    event = connection.next_event()
    while event is h11.NEED_DATA:
        connection.receive_data(await socket.recv(RECEIVE_SIZE_BYTES))
        event = connection.next_event()
    return event if isinstance(event, h11.Request) else None
