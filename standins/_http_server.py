"""HTTP server of the stand-ins, on curio and h11."""

import json
import socket
from urllib.parse import parse_qsl, unquote, urlsplit

import curio
import h11
from curio.network import run_server

RECEIVE_SIZE_BYTES = 64 * 1024
BACKLOG = 1024


class CloseConnection(Exception):  # noqa: N818
    """Raised by a handler to close the connection without an answer."""


class Request:
    """A complete request.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path without the query, percent-decoded.
    query : dict of str to str
        Parameters of the query.
    headers : dict of str to str
        Headers by lower-case name; the last header of a name wins.
    body : bytes
        Complete body.
    """

    __slots__ = ("body", "headers", "method", "path", "query")

    def __init__(self, method, path, query, headers, body):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body

    def json(self):
        """Return the body parsed as JSON; an empty body is an empty object."""
        return json.loads(self.body) if self.body else {}


class Exchange:
    """A connection that answers its requests one after the other.

    Parameters
    ----------
    client : curio.io.Socket
        The accepted connection.
    """

    __slots__ = ("_client", "_connection")

    def __init__(self, client):
        self._client = client
        self._connection = h11.Connection(h11.SERVER)

    async def receive(self):
        """Return the next `Request`, or None if the caller has disconnected."""
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return _build_request(head, bytes(body))
            if not isinstance(event, h11.Data):
                return None
            body += event.data

    async def answer(self, status, body, content_type="application/json", more=()):
        """Send a complete response with its length and the headers of `more`."""
        headers = [("content-type", content_type), ("content-length", str(len(body)))]
        headers += more
        send = self._connection.send
        parts = [
            send(h11.Response(status_code=status, headers=headers)),
            send(h11.Data(data=body)),
            send(h11.EndOfMessage()),
        ]
        await self._client.sendall(b"".join(parts))

    async def answer_json(self, status, value):
        """Send a value as JSON."""
        await self.answer(status, json.dumps(value).encode())

    async def begin_stream(self, status, content_type):
        """Send the head of a chunked response."""
        headers = [("content-type", content_type), ("transfer-encoding", "chunked")]
        head = h11.Response(status_code=status, headers=headers)
        await self._client.sendall(self._connection.send(head))

    async def send_part(self, data):
        """Send the next chunk of a chunked response."""
        await self._client.sendall(self._connection.send(h11.Data(data=data)))

    async def end_stream(self):
        """Send the end of a chunked response."""
        await self._client.sendall(self._connection.send(h11.EndOfMessage()))

    def next_cycle(self):
        """Return whether the connection can carry another request."""
        connection = self._connection
        if h11.MUST_CLOSE in (connection.our_state, connection.their_state):
            return False
        if connection.our_state is not h11.DONE:
            return False
        connection.start_next_cycle()
        return True

    async def _next_event(self):
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._connection.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self._client.sendall(self._connection.send(interim))
            data = await self._client.recv(RECEIVE_SIZE_BYTES)
            self._connection.receive_data(data)


class HttpServer:
    """A listening HTTP server.

    Parameters
    ----------
    handler : callable
        ``async handler(request, exchange)`` answers on the `Exchange`.
    host : str
        IP number to listen on.
    port : int
        TCP port; with 0 the system assigns a free port.
    """

    __slots__ = ("_handler", "_listener", "_task", "host", "port")

    def __init__(self, handler, host="127.0.0.1", port=0):
        self._handler = handler
        self._listener = curio.tcp_server_socket(host, port, backlog=BACKLOG)
        self._task = None
        self.host, self.port = self._listener.getsockname()

    async def run(self):
        """Serve until cancelled."""
        await run_server(self._listener, self._serve)

    async def __aenter__(self):
        self._task = await curio.spawn(self.run)
        return self

    async def __aexit__(self, *exception):
        await self._task.cancel()

    async def _serve(self, client, address):
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        exchange = Exchange(client)
        try:
            while True:
                request = await exchange.receive()
                if request is None:
                    return
                await self._handler(request, exchange)
                if not exchange.next_cycle():
                    return
        except (OSError, h11.ProtocolError, CloseConnection):
            # The caller disconnected, sent invalid HTTP, or the handler closes the
            # connection: each ends this connection only.
            return


def run_standin(handler, options, background=None):
    """Run a stand-in until the process is ended.

    Parameters
    ----------
    handler : callable
        ``async handler(request, exchange)``.
    options : argparse.Namespace
        With ``host`` and ``port``.
    background : callable or None
        ``async background()`` that runs concurrently with the server.
    """

    async def main():
        server = HttpServer(handler, options.host, options.port)
        print(f"listening {server.host}:{server.port}", flush=True)
        if background is not None:
            await curio.spawn(background, daemon=True)
        await server.run()

    curio.run(main)


def add_server_options(parser):
    """Add the options that every stand-in has to an argument parser."""
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--port", type=int, default=0, help="TCP port; 0 chooses one")


def _build_request(head, body):
    target = urlsplit(head.target.decode("ascii"))
    return Request(
        head.method.decode("ascii"),
        unquote(target.path),
        dict(parse_qsl(target.query, errors="surrogateescape")),
        {name.decode(): value.decode("latin-1") for name, value in head.headers},
        body,
    )
