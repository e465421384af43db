"""HTTP server for operators' tools: ``/metrics``, ``/healthz`` and ``/readyz``."""

import curio
import h11

from siskinthread.observability import part_logger

RECEIVE_SIZE_BYTES = 16 * 1024
REQUEST_WAIT_S = 5.0
CONNECTIONS_LIMIT = 64
ACCEPT_RETRY_WAIT_S = 0.1
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
TEXT_TYPE = "text/plain; charset=utf-8"
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503

_logger = part_logger("execution")


class StatusServer:
    """Answers one request per connection.

    Beyond `CONNECTIONS_LIMIT` the oldest connection is closed for a new one.

    Parameters
    ----------
    metrics : Metrics
        The process's metrics.
    unready_reason : callable
        Returns the reason why the process is not ready, or None if it is ready.
    """

    __slots__ = ("_connections", "_metrics", "_unready_reason")

    def __init__(self, metrics, unready_reason):
        self._metrics = metrics
        self._unready_reason = unready_reason
        # Tasks in the order of their start.
        self._connections = {}

    async def run(self, listening_socket):
        """Serve until cancelled.

        Parameters
        ----------
        listening_socket : curio.io.Socket
            A listening socket.
        """
        while True:
            try:
                socket, _ = await listening_socket.accept()
            except OSError as error:
                _logger.warning("Can't accept a status request: %s.", error)
                await curio.sleep(ACCEPT_RETRY_WAIT_S)
                continue
            if len(self._connections) >= CONNECTIONS_LIMIT:
                oldest = next(iter(self._connections))
                del self._connections[oldest]
                await oldest.cancel(blocking=False)
            task = await curio.spawn(self._serve, socket, daemon=True)
            self._connections[task] = None
            # Ended connections are closed before the next one is accepted.
            await curio.sleep(0)

    async def _serve(self, socket):
        try:
            await curio.timeout_after(REQUEST_WAIT_S, self._answer, socket)
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as error:
            _logger.info("Status request failed: %r.", error)
        finally:
            self._connections.pop(await curio.current_task(), None)
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
