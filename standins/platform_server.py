"""Stand-in of a server on the users' platform, with faults by the connection.

It reads a request, records it, and answers by the next of its scripted behaviours;
without a scripted behaviour it answers completely, or as a `SteadyService` does.

Run it with ``python -m standins.platform_server --port 0 --instance-id i-1``.  ``POST
/faults`` accepts ``behaviours``: names of `BEHAVIOURS` for the next requests, which
replace the names that are still queued; with ``--steady`` also ``shares`` and ``seed``,
and values that its answers then state: ``limit``, ``backoff``, ``leaving``,
``cold_until_s``.  With ``--slots`` it serves as a `SlotService`.  ``GET /runs`` answers
the records of either service.
"""

import argparse
import json
from collections import deque

import curio

from standins.endless_answers import ENDLESS_ANSWERS, EndlessService
from standins.platform_behaviours import (
    answer_bytes,
    answer_whole,
    BEHAVIOURS,
    CLOSE,
)
from standins.platform_service import SteadyService
from standins.platform_slots import SlotService

READ_SIZE_BYTES = 65_536
# Attributes of a `SteadyService` that its answers state.
STATED_ATTRIBUTES = {"backoff", "cold_until_s", "leaving", "limit"}


class ReceivedRequest:
    """A request that a server has received.

    Parameters
    ----------
    line : str
        Request line of HTTP.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        Complete body.
    """

    __slots__ = ("body", "headers", "line")

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        """Id that the caller gave to the attempt."""
        return self.headers.get("x-request-id", "")


class PlatformServerStandin:
    """A server with scripted behaviours.

    Parameters
    ----------
    instance_id : str
        Id of this start of the server.
    host, port : str, int
        Address to listen on; with port 0 the system assigns a free port.
    default : callable
        Behaviour when no behaviour is scripted.

    Attributes
    ----------
    seen : list of ReceivedRequest
        Requests in the order of arrival.
    behaviours : collections.deque
        Scripted ``async behaviour(server, request, client)`` of the next requests.
    closed_early : curio.Event
        Set when a caller closes its connection while `hang` holds its request.
    is_up : bool
        Whether it listens.
    """

    __slots__ = (
        "_default",
        "_listener",
        "_task",
        "behaviours",
        "closed_early",
        "connection_count",
        "host",
        "instance_id",
        "is_up",
        "port",
        "seen",
    )

    def __init__(self, instance_id, host="127.0.0.1", port=0, default=answer_whole):
        self.instance_id = instance_id
        self._default = default
        self.seen = []
        self.behaviours = deque()
        self.closed_early = curio.Event()
        self.connection_count = 0
        self.is_up = True
        self._listener = curio.tcp_server_socket(host, port)
        self._task = None
        self.host, self.port = self._listener.getsockname()

    async def __aenter__(self):
        self._task = await curio.spawn(self.run)
        return self

    async def __aexit__(self, *exception):
        await self._task.cancel()

    async def run(self):
        """Serve until cancelled."""
        await curio.network.run_server(self._listener, self.serve)

    def set_default_behaviour(self, default):
        """Set the behaviour that is used when no behaviour is scripted."""
        self._default = default

    async def end(self):
        """Stop listening and close all connections, as when the process ends."""
        self.is_up = False
        await self._task.cancel()

    async def start_again(self, instance_id):
        """Restart at the same address, with another id and no scripted behaviour."""
        self.instance_id = instance_id
        self.behaviours.clear()
        self._listener = curio.tcp_server_socket(self.host, self.port)
        self._task = await curio.spawn(self.run)
        self.is_up = True

    async def serve(self, client, address):
        """Serve one connection."""
        self.connection_count += 1
        rest = b""
        try:
            while True:
                request, rest = await read_request(client, rest)
                if request is None:
                    return
                control_answer = self._handle_control(request)
                if control_answer is not None:
                    body = json.dumps(control_answer).encode()
                    await client.sendall(answer_bytes("", body=body))
                    continue
                self.seen.append(request)
                behave = self._default
                if self.behaviours:
                    behave = self.behaviours.popleft()
                if await behave(self, request, client) is CLOSE:
                    return
        except OSError:
            return

    def _handle_control(self, request):
        """Execute a control call of the test; return its answer, or None for others."""
        if request.line.startswith("GET /runs "):
            return self._default.as_json()
        if not request.line.startswith("POST /faults "):
            return None
        faults = json.loads(request.body)
        self.behaviours.clear()
        for name in faults.get("behaviours", ()):
            self.behaviours.append(BEHAVIOURS[name])
        for name in STATED_ATTRIBUTES & set(faults):
            setattr(self._default, name, faults[name])
        if "shares" in faults:
            self._default.set_faults(faults["shares"], faults["seed"])
        return {}


async def read_request(client, rest):
    """Return the next `ReceivedRequest`, or None at the end, and the bytes after it."""
    while b"\r\n\r\n" not in rest:
        data = await client.recv(READ_SIZE_BYTES)
        if not data:
            return None, b""
        rest += data
    head, _, rest = rest.partition(b"\r\n\r\n")
    line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for header_line in lines:
        name, _, value = header_line.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    while len(rest) < size:
        data = await client.recv(READ_SIZE_BYTES)
        if not data:
            return None, b""
        rest += data
    return ReceivedRequest(line, headers, rest[:size]), rest[size:]


def main():
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--port", type=int, default=0, help="TCP port; 0 chooses one")
    parser.add_argument("--instance-id", default="i-1", help="id of this start")
    parser.add_argument(
        "--steady", action="store_true", help="serve as a service under load does"
    )
    parser.add_argument(
        "--cold-until-s",
        type=float,
        default=0.0,
        help="until when it says in health answers that it is cold, monotonic seconds",
    )
    parser.add_argument(
        "--slots", type=int, help="run so many requests at once, and let others wait"
    )
    parser.add_argument(
        "--queue", type=int, default=0, help="requests that may wait for a slot"
    )
    parser.add_argument(
        "--service-s", type=float, default=0.2, help="time of each request, seconds"
    )
    parser.add_argument(
        "--endless", choices=ENDLESS_ANSWERS, help="answer each request without end"
    )
    options = parser.parse_args()
    default = answer_whole
    if options.endless:
        default = EndlessService(ENDLESS_ANSWERS[options.endless])
    if options.slots:
        default = SlotService(options.slots, options.queue, options.service_s)
    if options.steady:
        default = SteadyService(options.instance_id, options.cold_until_s)

    async def serve():
        server = PlatformServerStandin(
            options.instance_id, options.host, options.port, default
        )
        print(f"listening {server.host}:{server.port}", flush=True)
        await server.run()

    curio.run(serve)


if __name__ == "__main__":
    main()
