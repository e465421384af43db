"""TCP relays that delay, reset, cut one way or silence what they carry.

Run it with ``python -m scripts._fault_proxy --to 127.0.0.1:9000``; ``--to`` may be
given more than once.  It prints ``listening HOST:PORT`` for each relay.  The control
port accepts these requests, with ``relay`` as the index of a relay, from 0:

- ``POST /silence`` with ``connections``: this number of open connections, the oldest
  first, stay open and relay nothing from then on;
- ``POST /reset``: all open connections are reset;
- ``POST /link`` with ``delay_ms`` and ``cut``, a list of ``"to"`` and ``"from"``: data
  in these directions is held until the cut ends, and dropped if its sender has reset
  the connection by then, or before the relay read it;
- ``GET /counts``.

With ``--refuse`` a relay does not listen while nothing listens at its target address,
so that connections are refused as by the target itself.
"""

import argparse
import socket
import struct

import curio

from standins._http_server import HttpServer

RECEIVE_SIZE_BYTES = 64 * 1024
CUT_POLL_S = 0.01
BACK_POLL_S = 0.05
MILLISECONDS_PER_SECOND = 1000
# SO_LINGER with a time of 0: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TO, FROM = "to", "from"


class RelayedConnection:
    """A relayed connection.

    Attributes
    ----------
    silent : bool
        Whether the relay has stopped to pass on data.
    ended : curio.Event
        Set to end the connection.
    """

    __slots__ = ("_sockets", "ended", "silent")

    def __init__(self, *sockets):
        self._sockets = sockets
        self.silent = False
        self.ended = curio.Event()

    async def reset(self):
        """End the connection with a reset on both sides."""
        for one in self._sockets:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.ended.set()


class Relay:
    """Relays connections to an address.

    Parameters
    ----------
    host, port : str, int
        IP number and TCP port to relay to.
    refuses : bool
        Whether the relay does not listen while nothing listens at that address.

    Attributes
    ----------
    address : tuple
        IP number and TCP port on which the relay listens.
    delay_s : float
        Delay of each piece of data, seconds.
    cut : set of str
        Directions in which no data passes.
    """

    __slots__ = (
        "_accepting",
        "_connections",
        "_host",
        "_listener",
        "_port",
        "_refuses",
        "accepted",
        "address",
        "cut",
        "delay_s",
        "silenced",
    )

    def __init__(self, host, port, refuses=False):
        self._host = host
        self._port = port
        self._refuses = refuses
        self._listener = curio.tcp_server_socket("127.0.0.1", 0)
        self.address = self._listener.getsockname()
        self._connections = []
        self._accepting = None
        self.accepted = 0
        self.silenced = 0
        self.delay_s = 0.0
        self.cut = set()

    async def run(self):
        """Relay until cancelled."""
        while True:
            self._accepting = await curio.spawn(self._accept_forever, daemon=True)
            await self._accepting.wait()
            while not await self._is_up():
                await curio.sleep(BACK_POLL_S)
            self._listener = curio.tcp_server_socket(*self.address)

    async def _accept_forever(self):
        async with self._listener:
            while True:
                client, _ = await self._listener.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _is_up(self):
        try:
            probe = await curio.open_connection(self._host, self._port)
        except OSError:
            return False
        await probe.close()
        return True

    async def _refuse_if_down(self):
        """Stop listening if nothing listens at the target address."""
        if self._refuses and not await self._is_up():
            await self._accepting.cancel()

    async def _serve(self, client):
        async with client:
            await self._relay(client)

    async def _relay(self, client):
        """Relay a connection in both directions."""
        self.accepted += 1
        try:
            server = await curio.open_connection(self._host, self._port)
        except OSError:
            await self._refuse_if_down()
            return
        connection = RelayedConnection(client, server)
        self._connections.append(connection)
        try:
            async with server, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, connection, client, server, TO)
                await group.spawn(self._pump, connection, server, client, FROM)
                await group.spawn(connection.ended.wait)
        finally:
            self._connections.remove(connection)

    def silence(self, count):
        """Silence a number of open connections, the oldest first."""
        relaying = [one for one in self._connections if not one.silent]
        for connection in relaying[:count]:
            connection.silent = True
            self.silenced += 1

    async def reset_all(self):
        """Reset every open connection."""
        for connection in list(self._connections):
            await connection.reset()

    def counts(self):
        """Return the counts of open, accepted and silenced connections."""
        return {
            "open": len(self._connections),
            "accepted": self.accepted,
            "silenced": self.silenced,
        }

    async def _wait_for_cut_end(self, source, direction):
        """Wait for the end of a cut."""
        while direction in self.cut:
            await curio.sleep(CUT_POLL_S)
        raise_if_reset(source)

    async def _pump(self, connection, source, sink, direction):
        try:
            while True:
                data = await source.recv(RECEIVE_SIZE_BYTES)
                # A relay that had no processor may read data whose sender has since
                # reset the connection.
                raise_if_reset(source)
                await curio.sleep(self.delay_s)
                if direction in self.cut:
                    await self._wait_for_cut_end(source, direction)
                if connection.silent:
                    # The end of the connection is not relayed either: the other side
                    # must detect the silence by itself.
                    await curio.Event().wait()
                if not data:
                    break
                await sink.sendall(data)
        except OSError:
            # A side has closed; the relay closes the other side in turn.
            pass
        if direction == FROM:
            await self._refuse_if_down()


def raise_if_reset(source):
    """Raise an error if the sender has reset its connection.

    Raises
    ------
    ConnectionResetError
        Data in flight is lost then: the sender's system does not retransmit it.
    """
    if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise ConnectionResetError


async def control(relays, request, exchange):
    """Answer a request at the control port."""
    fault = request.json()
    relay = relays[fault.get("relay", 0)]
    if request.path == "/silence":
        relay.silence(fault.get("connections", 1))
    elif request.path == "/reset":
        await relay.reset_all()
    elif request.path == "/link":
        relay.delay_s = fault.get("delay_ms", 0) / MILLISECONDS_PER_SECOND
        relay.cut = set(fault.get("cut", ()))
    await exchange.answer_json(200, relay.counts())


async def _run(options):
    relays = []
    async with curio.TaskGroup() as group:
        for address in options.to:
            host, _, port = address.rpartition(":")
            relay = Relay(host, int(port), options.refuse)
            relays.append(relay)
            listen_host, listen_port = relay.address
            print(f"listening {listen_host}:{listen_port}", flush=True)
            await group.spawn(relay.run)

        async def handle(request, exchange):
            await control(relays, request, exchange)

        await group.spawn(HttpServer(handle, port=options.control_port).run)


def main():
    """Run the relays."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--control-port", type=int, required=True, help="for control")
    parser.add_argument(
        "--to", action="append", required=True, help="HOST:PORT to relay to"
    )
    parser.add_argument(
        "--refuse", action="store_true", help="don't listen while nothing does there"
    )
    curio.run(_run, parser.parse_args())


if __name__ == "__main__":
    main()
