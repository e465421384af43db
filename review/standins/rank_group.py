"""Stand-in of a group of model servers that execute passes together on an expert map.

Run it with ``python3 -m review.standins.rank_group --record FILE``.  It prints one line
``listening HOST:PORT`` for each rank, in order.  Each rank answers requests, reports,
counts and orders as PROTOCOL.md says.  A pass in which two ranks have different maps is
written to the record as ``mixed``.

One rank has two faults, each once, with the first change of the map that begins
``--fault-at-s`` after the start:

- ``--extra``: it answers the order to prepare twice, and the second copy comes late, at
  the point where the answer to the next request of the channel is expected;
- ``--late``: the order to arm that follows gets no answer and is carried out 3 s later.
"""

import argparse
import asyncio
import json
import random
import time

from review.standins.server import event, head

RANKS = 8
SETS = 6
EXPERTS = 64
SPARE = 4
PLACES = 11
EXPERT_MB = 1700.0
LINK_MBPS = 92000.0
COPY_S = EXPERT_MB * 8 / LINK_MBPS
STRIDE = 6
STEP_S = 0.00484
REQUEST_S = 0.000724
EXPERT_SHARE = 0.85
REPORT_LAG_S = 0.2
PICKS = 40.0
SKEW = 1.6
# Share of the experts whose demand changes in a shift.
SHIFTED_SHARE = 0.65
EVENTS = 26
SLOTS = 6
FAULTY_RANK = 5
LATE_S = 3.0
EPOCH = 1


class Rank:
    """State of a rank."""

    def __init__(self, number):
        self.number = number
        self.version = 0
        # Experts by set and rank.
        self.map = [
            [list(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)]
            for _ in range(SETS)
        ]
        self.prepared = None
        self.copied_at_s = 0.0
        self.highest = 0
        self.armed = None
        self.held = None
        self.sequence = 0
        self.counts = [0.0] * (SETS * EXPERTS)
        self.running = set()
        # Reports by the time from which they hold.
        self.reports = []

    def is_copying(self, now_s):
        """Return whether the rank still copies experts."""
        return now_s < self.copied_at_s


class Group:
    """All ranks of the group.

    Parameters
    ----------
    options : argparse.Namespace
        See `parse_options`.
    """

    def __init__(self, options):
        self._options = options
        self._random = random.Random(options.seed)
        self._record = open(options.record, "a", buffering=1)  # noqa: SIM115
        self.ranks = [Rank(number) for number in range(RANKS)]
        self.step = 0
        self._loads = [self._draw_loads() for _ in range(SETS)]
        self._work = asyncio.Event()
        self._released = asyncio.Event()
        self._pass_over = asyncio.Event()
        # Faults that are still to come: "prepare" answered twice, "arm" unanswered.
        self._due = set()
        if options.extra:
            self._due.add("prepare")
        if options.late:
            self._due.add("arm")
        self._has_begun = False
        self._faults_from_s = time.monotonic() + options.fault_at_s
        self._tasks = set()
        # By channel: the second copy of an answer, to be sent late.
        self._copies = {}
        for rank in self.ranks:
            self._refresh(rank)

    def _note(self, what, **fields):
        fields = {"at_s": time.monotonic(), "what": what, **fields}
        self._record.write(json.dumps(fields) + "\n")

    def _draw_loads(self):
        loads = [(number + 1) ** -SKEW + 0.01 for number in range(EXPERTS)]
        self._random.shuffle(loads)
        return [load / sum(loads) for load in loads]

    # Passes.

    async def run(self):
        """Execute passes while there is work."""
        while True:
            if not any(rank.running for rank in self.ranks):
                self._work.clear()
                await self._work.wait()
            while self.ranks[0].held == self.step + 1:
                self._released.clear()
                await self._released.wait()
            self._begin_pass()
            await asyncio.sleep(self._pass_s())
            self._count()
            self._pass_over.set()
            self._pass_over = asyncio.Event()

    def _begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] <= self.step:
                rank.version, rank.map = rank.prepared
                rank.armed = None
            self._refresh(rank)
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1 or any(
            rank.map != self.ranks[0].map for rank in self.ranks
        ):
            self._note("mixed", step=self.step, versions=versions)

    def _pass_s(self):
        """Return the time of a pass: the slowest rank's part, set by set."""
        most = max(len(rank.running) for rank in self.ranks)
        even_s = STRIDE * (STEP_S + REQUEST_S * most)
        skews = []
        for index in range(SETS):
            ranks = self.ranks[0].map[index]
            holders = [0] * EXPERTS
            for experts in ranks:
                for expert in experts:
                    holders[expert] += 1
            skews.append(
                max(
                    sum(self._loads[index][one] / holders[one] for one in experts)
                    for experts in ranks
                )
                * RANKS
            )
        skew = sum(skews) / SETS
        return even_s * (1 - EXPERT_SHARE + EXPERT_SHARE * skew)

    def _count(self):
        for rank in self.ranks:
            tokens = STRIDE * len(rank.running) * PICKS
            for index in range(SETS):
                for expert in range(EXPERTS):
                    rank.counts[index * EXPERTS + expert] += (
                        tokens * self._loads[index][expert]
                    )

    async def shift_demand(self):
        """Change which experts are in demand, again and again."""
        while True:
            await asyncio.sleep(self._options.shift_s)
            for index in range(SETS):
                self._loads[index] = self._shift_loads(self._loads[index])

    def _shift_loads(self, loads):
        """Exchange the demand for a share of the experts."""
        moved = self._random.sample(range(EXPERTS), round(EXPERTS * SHIFTED_SHARE))
        shifted = list(loads)
        for one, other in zip(moved, moved[1:] + moved[:1], strict=True):
            shifted[one] = loads[other]
        return shifted

    # Channels.

    async def serve(self, rank, reader, writer):
        """Serve one channel of a rank until either side closes it."""
        try:
            while True:
                request = await read_full_request(reader)
                if request is None:
                    return
                path, headers, body = request
                if not await self._answer(rank, path, headers, body, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._copies.pop(writer, None)
            writer.close()

    async def _answer(self, rank, path, headers, body, reader, writer):
        """Answer a request; return whether the channel may carry another one."""
        request_id = headers.get("x-request-id", "")
        name = f"i-{rank.number}"
        if writer in self._copies:
            self._note("sends a second copy", rank=rank.number, before=path)
            writer.write(self._copies.pop(writer))
            await writer.drain()
        if headers.get("x-expect-instance", name) != name:
            await self._send(rank, writer, request_id, "421 Misdirected", {})
            return True
        if path == "/health":
            await self._send(rank, writer, request_id, "200 OK", {})
        elif path == "/siskinthread/report":
            await self._send(rank, writer, request_id, "200 OK", self._report(rank))
        elif path == "/siskinthread/picked":
            counts = [round(count) for count in rank.counts]
            document = {"step": self.step, "epoch": EPOCH, "counts": counts}
            await self._send(rank, writer, request_id, "200 OK", document)
        elif path.startswith("/siskinthread/picked"):
            await self._send(rank, writer, request_id, "200 OK", self._lists(rank))
        elif path == "/siskinthread/order":
            await self._take_order(rank, json.loads(body), request_id, writer)
        else:
            return await self._stream(rank, headers, request_id, reader, writer)
        return True

    async def _send(self, rank, writer, request_id, status, document):
        """Send an answer, and return its bytes."""
        body = json.dumps(document).encode()
        lines = ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        data = head(request_id, lines, f"i-{rank.number}", status) + body
        writer.write(data)
        await writer.drain()
        self._note("answers a call", rank=rank.number, status=status)
        return data

    async def _stream(self, rank, headers, request_id, reader, writer):
        """Send an event a pass; return whether the whole stream was sent."""
        if len(rank.running) >= SLOTS:
            lines = ["Content-Length: 0", "X-Not-Executed: 1"]
            status = "503 Service Unavailable"
            writer.write(head(request_id, lines, f"i-{rank.number}", status))
            await writer.drain()
            return True
        lines = [
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Response-Seal: {request_id}",
            f"X-Server-Load: {len(rank.running) + 1},0,{SLOTS}",
        ]
        run = object()
        rank.running.add(run)
        self._note("runs", rank=rank.number, id=request_id)
        self._work.set()
        try:
            first = int(headers.get("last-event-id", 0)) + 1
            for number in range(first, EVENTS + 1):
                await self._pass_over.wait()
                if reader.at_eof():
                    return False
                if number == first:
                    writer.write(head(request_id, lines, f"i-{rank.number}"))
                data = event(number)
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self._note("answered", rank=rank.number, id=request_id)
        finally:
            rank.running.discard(run)
        return True

    # Reports.

    def _refresh(self, rank):
        """Keep the report of a rank as of now."""
        rank.reports.append((time.monotonic(), self._report_now(rank)))

    def _report(self, rank):
        """Return the report as of some hundred milliseconds ago."""
        now_s = time.monotonic()
        # The end of copying changes the report without an event.
        rank.reports.append((now_s, self._report_now(rank)))
        limit_s = now_s - REPORT_LAG_S
        while len(rank.reports) > 1 and rank.reports[1][0] <= limit_s:
            rank.reports.pop(0)
        return rank.reports[0][1]

    def _report_now(self, rank):
        is_prepared = rank.prepared and not rank.is_copying(time.monotonic())
        armed = None
        if rank.armed is not None:
            armed = {"version": rank.armed[0], "step": rank.armed[1]}
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": rank.is_copying(time.monotonic()),
            "sequence": rank.sequence,
            "queued": 0,
            "running": len(rank.running),
            "kv_used": 0,
            "kv_total": 247000,
            "handles": 0,
            "pace": 1.0,
            "group": {
                "name": "group-a",
                "epoch": EPOCH,
                "rank": rank.number,
                "state": "open",
            },
            "size": RANKS,
            "step": self.step,
            "map": rank.version,
            "prepared": rank.prepared[0] if is_prepared else None,
            "armed": armed,
            "held": rank.held,
        }

    def _lists(self, rank):
        def own(experts_by_set):
            return [ranks[rank.number] for ranks in experts_by_set]

        prepared = None
        if rank.prepared is not None:
            version, experts = rank.prepared
            prepared = {"version": version, "experts": own(experts)}
        return {
            "step": self.step,
            "epoch": EPOCH,
            "map": {"version": rank.version, "experts": own(rank.map)},
            "prepared": prepared,
        }

    # Orders.

    async def _take_order(self, rank, order, request_id, writer):
        if self._is_due(rank, order, "arm"):
            task = asyncio.create_task(self._carry_out_late(rank, order))
            self._tasks.add(task)
            return
        status = self._carry_out(rank, order)
        data = await self._send(rank, writer, request_id, status, {})
        if self._is_due(rank, order, "prepare"):
            self._note_order("will be answered once more", rank, order)
            self._copies[writer] = data

    def _is_due(self, rank, order, operation):
        """Return whether the fault of an operation is to come now, once."""
        is_faulty = rank.number == FAULTY_RANK and order["operation"] == operation
        if not is_faulty or time.monotonic() < self._faults_from_s:
            return False
        # The order to arm follows the order to prepare of the same change.
        self._has_begun |= operation == "prepare"
        if not self._has_begun or operation not in self._due:
            return False
        self._due.remove(operation)
        return True

    async def _carry_out_late(self, rank, order):
        self._note_order("gets no answer", rank, order)
        await asyncio.sleep(LATE_S)
        status = self._carry_out(rank, order)
        self._note_order(f"is carried out {LATE_S} s late: {status}", rank, order)

    def _note_order(self, text, rank, order):
        name = (
            f"{order['operation']} {order.get('version', '')} {order.get('step', '')}"
        )
        self._note("order", text=f"{name} at rank {rank.number} {text}")

    def _carry_out(self, rank, order):
        """Carry an order out if it fits; return the status."""
        if order.get("epoch", EPOCH) != EPOCH:
            return "409 Conflict"
        done = getattr(self, f"_{order['operation']}")(rank, order)
        if done:
            rank.sequence += 1
            self._refresh(rank)
        self._note_order("is carried out" if done else "is refused", rank, order)
        return "202 Accepted" if done else "409 Conflict"

    def _prepare(self, rank, order):
        version, experts = order["version"], order["map"]
        if rank.prepared is not None and rank.prepared == (version, experts):
            return True
        if version <= rank.highest or rank.armed is not None:
            return False
        new = [
            len(set(ranks[rank.number]) - set(held[rank.number]))
            for ranks, held in zip(experts, rank.map, strict=True)
        ]
        held_counts = [len(ranks[rank.number]) for ranks in experts]
        if max(new) > SPARE or max(held_counts) > PLACES:
            return False
        rank.highest = version
        rank.prepared = (version, experts)
        rank.copied_at_s = time.monotonic() + sum(new) * COPY_S
        return True

    def _arm(self, rank, order):
        wanted = (order["version"], order["step"])
        if rank.armed == wanted:
            return True
        is_prepared = rank.prepared is not None and rank.prepared[0] == wanted[0]
        if not is_prepared or rank.is_copying(time.monotonic()):
            return False
        if wanted[1] <= self.step or rank.version >= wanted[0]:
            return False
        rank.armed = wanted
        return True

    def _disarm(self, rank, order):
        if rank.version == order["version"]:
            return False
        if rank.armed is not None and rank.armed[0] == order["version"]:
            rank.armed = None
        return True

    def _hold(self, rank, order):
        if rank.held == order["step"]:
            return True
        if rank.held is not None or order["step"] <= self.step:
            return False
        rank.held = order["step"]
        return True

    def _go(self, rank, order):
        if rank.held == order["step"]:
            rank.held = None
            self._released.set()
        return True


async def read_full_request(reader):
    """Return path, headers and body of the next request; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rest = data.decode("latin-1").rstrip().split("\r\n")
    pairs = [text.partition(":") for text in rest]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.split()[1], headers, body


def parse_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--record", required=True, help="file to write the record to")
    parser.add_argument("--seed", type=int, default=1, help="seed of the demand")
    parser.add_argument("--shift-s", type=float, default=3.0, help="between shifts")
    parser.add_argument("--fault-at-s", type=float, default=8.0, help="for faults")
    parser.add_argument("--extra", action="store_true", help="answer an order twice")
    parser.add_argument("--late", action="store_true", help="carry an order out late")
    return parser.parse_args()


async def main():
    """Serve until the process is ended."""
    group = Group(parse_options())
    for rank in group.ranks:

        def serve(reader, writer, rank=rank):
            return group.serve(rank, reader, writer)

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        print(f"listening {host}:{port}", flush=True)
    shifting = asyncio.create_task(group.shift_demand())
    await group.run()
    await shifting


if __name__ == "__main__":
    asyncio.run(main())
