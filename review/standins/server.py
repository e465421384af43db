"""Stand-in of a model server and of a plain service behind the gateways.

Run it with ``python3 -m review.standins.server --instance-id i-1 --record FILE``.  It
prints ``listening HOST:PORT``.  It serves requests as a sound server does:

- paths under ``/stream/``: a stream of events with ids from 1 on, in chunks, which
  resumes after ``Last-Event-Id``; ``/stream/30`` has 30 events;
- all other paths: one answer with its length, after ``--work-s``, or after ``--slow-s``
  for those under ``/slow/``.

A request that expects another instance gets 421.  Each request is written to the record
as it begins to run and as it ends, with the time of the steady clock, which all
processes of a machine share.
"""

import argparse
import asyncio
import json
import time

ANSWER_BYTES = 800
SLOTS = 6


def event(number):
    """Return an event of a stream."""
    return f"id: {number}\ndata: part {number}\n\n".encode()


def event_count(path, default):
    """Return how many events the stream of a path has."""
    text = path.removeprefix("/stream/")
    return int(text) if text.isdecimal() else default


def whole_body(request_id):
    """Return the body of an answer that has a length."""
    return request_id.encode().ljust(ANSWER_BYTES, b".")


class Server:
    """The server.

    Parameters
    ----------
    options : argparse.Namespace
        See `parse_options`.
    """

    def __init__(self, options):
        self._options = options
        self._record = open(options.record, "a", buffering=1)  # noqa: SIM115
        self._running = 0

    def note(self, what, request_id, path):
        """Write a line to the record."""
        fields = {
            "at_s": time.monotonic(),
            "server": self._options.instance_id,
            "what": what,
            "id": request_id,
            "path": path,
        }
        self._record.write(json.dumps(fields) + "\n")

    async def serve(self, reader, writer):
        """Serve one channel until either side closes it."""
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self._answer(request, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, request, reader, writer):
        """Answer a request; return whether the channel may carry another one."""
        path, headers = request
        request_id = headers.get("x-request-id", "")
        instance_id = self._options.instance_id
        if path == "/health":
            writer.write(head(request_id, ["Content-Length: 0"], instance_id))
            await writer.drain()
            return True
        if headers.get("x-expect-instance", instance_id) != instance_id:
            self.note("misdirected", request_id, path)
            lines = ["Content-Length: 0", "X-Not-Executed: 1"]
            writer.write(head(request_id, lines, instance_id, "421 Misdirected"))
            await writer.drain()
            return True
        self.note("runs", request_id, path)
        self._running += 1
        try:
            is_whole = await self._run(request, reader, writer)
        finally:
            self._running -= 1
        self.note("answered" if is_whole else "dropped", request_id, path)
        return is_whole

    async def _run(self, request, reader, writer):
        """Run a request; return whether its whole answer was sent."""
        path, headers = request
        request_id = headers.get("x-request-id", "")
        lines = [
            f"X-Response-Seal: {request_id}",
            f"X-Server-Load: {self._running},0,{SLOTS}",
        ]
        if path.startswith("/stream/"):
            first = int(headers.get("last-event-id", 0)) + 1
            lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(head(request_id, lines, self._options.instance_id))
            for number in range(first, event_count(path, self._options.parts) + 1):
                if await has_left(reader, self._options.gap_s):
                    return False
                data = event(number)
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            writer.write(b"0\r\n\r\n")
        else:
            is_slow = path.startswith("/slow/")
            work_s = self._options.slow_s if is_slow else self._options.work_s
            if await has_left(reader, work_s):
                return False
            body = whole_body(request_id)
            lines.append(f"Content-Length: {len(body)}")
            writer.write(head(request_id, lines, self._options.instance_id) + body)
        await writer.drain()
        return True


def head(request_id, lines, instance_id, status="200 OK"):
    """Return the head of an answer."""
    first = [f"HTTP/1.1 {status}", f"X-Request-Id: {request_id}"]
    first.append(f"X-Instance-Id: {instance_id}")
    return "\r\n".join([*first, *lines, "", ""]).encode()


async def read_request(reader):
    """Return path and headers of the next request; None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rest = data.decode("latin-1").rstrip().split("\r\n")
    pairs = [text.partition(":") for text in rest]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return first.split()[1], headers


async def has_left(reader, wait_s):
    """Wait; return True at once if the other side closes the channel."""
    ends_s = time.monotonic() + wait_s
    while time.monotonic() < ends_s:
        if reader.at_eof():
            return True
        await asyncio.sleep(min(0.01, max(0.0, ends_s - time.monotonic())))
    return reader.at_eof()


def parse_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--instance-id", required=True, help="id of this start")
    parser.add_argument("--record", required=True, help="file to write the record to")
    parser.add_argument("--parts", type=int, default=40, help="events of a stream")
    parser.add_argument("--gap-s", type=float, default=0.1, help="between two events")
    parser.add_argument("--work-s", type=float, default=0.06, help="of other requests")
    parser.add_argument("--slow-s", type=float, default=2.5, help="of /slow/")
    return parser.parse_args()


async def main():
    """Serve until the process is ended."""
    options = parse_options()
    server = Server(options)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    print(f"listening {host}:{port}", flush=True)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
