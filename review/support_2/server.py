"""Stand-in of a server of the platform, as a process of its own.

It serves one request at a time on a connection, answers 421 to a request that expects
another instance, echoes the id, seals its answers and states its load.  ``POST /set``
changes its state; ``GET /runs`` returns the record of its requests.
"""

import argparse
import asyncio
import json
import os
import time

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
SLOT_COUNT = 6
CHUNK_GAP_S = 0.05


def body_of(request_id, path, size):
    """Return the whole body of the answer to a request."""
    line = f"{request_id} {path} ".encode()
    return (line * (size // len(line) + 1))[:size]


def events_of(request_id, count):
    """Return the events of a whole stream."""
    return [
        f"id: {n}\ndata: {request_id} {n}\n\n".encode() for n in range(1, count + 1)
    ]


class Server:
    """State and record of one server."""

    def __init__(self, options):
        self.options = options
        self.runs = []
        self.running = 0
        self.state = {
            # Time between the start of a run and its answer, seconds.
            "work_s": 0.05,
            # Whether answers have neither a length nor chunks.
            "unframed": False,
            # Size of a body, and number of events of a stream.
            "body_bytes": 800,
            "event_count": 20,
            "event_gap_s": 0.05,
            # Whether answers state that the server leaves.
            "leaving": False,
        }

    def state_headers(self):
        lines = [f"X-Server-Load: {self.running},0,{SLOT_COUNT}"]
        if self.state["leaving"]:
            lines.append("Server-Leaving: 1")
        return lines

    async def serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except asyncio.IncompleteReadError:
            return False
        line, *rows = head.strip().split("\r\n")
        headers = {}
        for row in rows:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, path, _ = line.split()
        if path == "/set":
            self.state.update(json.loads(body))
            return await self._answer(writer, "", "200 OK", b"{}")
        if path == "/runs":
            return await self._answer(
                writer, "", "200 OK", json.dumps(self.runs).encode()
            )
        request_id = headers.get("x-request-id", "")
        instance_id = self.options.instance_id
        if path == "/health":
            return await self._answer(
                writer, request_id, "200 OK", b"ok", [f"X-Instance-Id: {instance_id}"]
            )
        if headers.get("x-expect-instance", instance_id) != instance_id:
            return await self._answer(
                writer, request_id, "421 Misdirected Request", b""
            )
        run = {
            "id": request_id,
            "path": path,
            "method": method,
            "tenant": headers.get("x-tenant"),
            "last_event_id": headers.get("last-event-id"),
            "deadline_ms": headers.get("x-deadline-ms"),
            "arrived_s": time.monotonic(),
            "ran": False,
            "ended_s": None,
            "result": None,
        }
        self.runs.append(run)
        if self.running >= SLOT_COUNT:
            run["result"] = "declined"
            lines = ["X-Not-Executed: 1", *self.state_headers()]
            return await self._answer(
                writer, request_id, "503 Service Unavailable", b"", lines
            )
        run["ran"] = True
        self.running += 1
        try:
            run["result"] = await self._run(run, reader, writer, headers)
        finally:
            self.running -= 1
            run["ended_s"] = time.monotonic()
        return run["result"] == "kept"

    async def _run(self, run, reader, writer, headers):
        if not await self._work(reader, self.state["work_s"]):
            return "caller left"
        if run["path"].startswith("/stream/"):
            return await self._stream(run, reader, writer, headers)
        body = body_of(run["id"], run["path"], self.state["body_bytes"])
        lines = [f"X-Response-Seal: {SEAL}", *self.state_headers()]
        if not self.state["unframed"]:
            await self._answer(writer, run["id"], "200 OK", body, lines)
            return "kept"
        writer.write(self._head(run["id"], "200 OK", lines))
        size = max(1, len(body) // 20)
        for at in range(0, len(body), size):
            writer.write(body[at : at + size])
            await writer.drain()
            if not await self._work(reader, CHUNK_GAP_S):
                return "caller left"
        return "closed"

    async def _stream(self, run, reader, writer, headers):
        first = int(headers.get("last-event-id", 0))
        lines = [
            f"X-Response-Seal: {SEAL}",
            "Content-Type: text/event-stream",
            *self.state_headers(),
        ]
        unframed = self.state["unframed"]
        if not unframed:
            lines.append("Transfer-Encoding: chunked")
        writer.write(self._head(run["id"], "200 OK", lines))
        for event in events_of(run["id"], self.state["event_count"])[first:]:
            if not await self._work(reader, self.state["event_gap_s"]):
                return "caller left"
            if not unframed:
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write(event)
            await writer.drain()
        if unframed:
            return "closed"
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return "kept"

    async def _work(self, reader, time_s):
        """Work for a time; return False at once if the caller closes its channel."""
        ends_s = time.monotonic() + time_s
        while (left_s := ends_s - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                return False
            await asyncio.sleep(min(0.01, left_s))
        return True

    def _head(self, request_id, status, lines):
        rows = [f"HTTP/1.1 {status}", f"X-Request-Id: {request_id}", *lines]
        return ("\r\n".join(rows) + "\r\n\r\n").encode()

    async def _answer(self, writer, request_id, status, body, lines=()):
        lines = [*lines, f"Content-Length: {len(body)}"]
        writer.write(self._head(request_id, status, lines) + body)
        await writer.drain()
        return True


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--instance-id", default="i-1")
    options = parser.parse_args()
    server = await asyncio.start_server(
        Server(options).serve, options.host, options.port
    )
    host, port = server.sockets[0].getsockname()
    print(f"listening {host}:{port} {os.getpid()}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
