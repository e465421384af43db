"""TCP relay that can let open connections go silent while new ones work.

Run it with ``python -m scripts._silent_proxy --port 0 --to 127.0.0.1:9000``.  It prints
``listening HOST:PORT`` and, on a second port, takes ``POST /silence`` with
``connections`` (how many of the open ones, the oldest first, stop relaying for good
without being closed) and answers ``GET /counts``.
"""

import argparse

import curio
from curio.network import run_server

from standins._http_server import HttpServer

RECEIVE_SIZE_BYTES = 64 * 1024


class Relay:
    """One relayed connection."""

    __slots__ = ("silent",)

    def __init__(self):
        self.silent = False


class SilentProxy:
    """The relay.

    Parameters
    ----------
    host : str
        IP number to relay to.
    port : int
        TCP port to relay to.
    """

    __slots__ = ("_host", "_port", "_relays", "accepted", "silenced")

    def __init__(self, host, port):
        self._host = host
        self._port = port
        self._relays = []
        self.accepted = 0
        self.silenced = 0

    async def serve(self, client, address):
        """Relay one connection in both directions."""
        self.accepted += 1
        relay = Relay()
        try:
            server = await curio.open_connection(self._host, self._port)
        except OSError:
            return
        self._relays.append(relay)
        try:
            async with server, curio.TaskGroup(wait=any) as group:
                await group.spawn(_pump, relay, client, server)
                await group.spawn(_pump, relay, server, client)
        finally:
            self._relays.remove(relay)

    async def control(self, request, exchange):
        """Answer one request of the control port."""
        if request.path == "/silence":
            self._silence(request.json().get("connections", 1))
        counts = {
            "open": len(self._relays),
            "accepted": self.accepted,
            "silenced": self.silenced,
        }
        await exchange.answer_json(200, counts)

    def _silence(self, count):
        relaying = [relay for relay in self._relays if not relay.silent]
        for relay in relaying[:count]:
            relay.silent = True
            self.silenced += 1


async def _pump(relay, source, sink):
    while True:
        try:
            data = await source.recv(RECEIVE_SIZE_BYTES)
            if not data and not relay.silent:
                return
            if not data:
                # The end of the connection is not relayed either: whoever waits on
                # the other side must find out by itself.
                await curio.Event().wait()
            if not relay.silent:
                await sink.sendall(data)
        except OSError:
            return


async def _run(options):
    host, _, port = options.to.rpartition(":")
    proxy = SilentProxy(host, int(port))
    listener = curio.tcp_server_socket("127.0.0.1", options.port)
    control = HttpServer(proxy.control, port=options.control_port)
    listen_host, listen_port = listener.getsockname()
    print(f"listening {listen_host}:{listen_port}", flush=True)
    async with control:
        await run_server(listener, proxy.serve)


def main():
    """Run the relay."""
    parser = argparse.ArgumentParser(description="relay that can go silent")
    parser.add_argument("--port", type=int, default=0, help="TCP port to listen on")
    parser.add_argument("--control-port", type=int, required=True, help="for control")
    parser.add_argument("--to", required=True, help="HOST:PORT to relay to")
    curio.run(_run, parser.parse_args())


if __name__ == "__main__":
    main()
