"""Callers of a burst of less urgent requests beside urgent ones, as a process.

Run with ``python -m siskinthread.platform.tests.burst_callers ENTRY ...``, where each
entry is ``HOST:PORT``.  Prints one line of JSON when all calls are over: the time of
the start, the calls, and the pauses of its own timer.
"""

import json
import random
import sys
import time

import curio

from scripts.soak._pauses import Pauses
from siskinthread.platform.tests.system import (
    KEY,
    read_response,
    request_bytes,
    status_of,
)
from siskinthread.settings import Address

URGENT, DRAFT = "/urgent/2f", "/draft/2f"
URGENT_PER_S, DRAFT_PER_S = 24, 240
BURST_FROM_S, BURST_TO_S, END_S = 4.0, 9.0, 9.5
# A pause of a tenth of the objective, 400 ms, can make an answer late.
SHORTEST_PAUSE_S = 0.04


class Callers:
    """Callers that retry once after a refusal, at the requested time.

    Parameters
    ----------
    entries : list of siskinthread.settings.Address
        Addresses of the entries; each attempt goes to a random entry, on a new
        connection.

    Attributes
    ----------
    began_s : float
        Start, monotonic seconds; all other times count from it.
    calls : list of dict
        Of each call ``path``; ``due_s``; ``asked_s``, the time of its first attempt;
        ``answered_s``, the time of its successful answer, or None; and ``tries``: for
        each attempt the number of its entry, its status, and its begin and end.
    """

    def __init__(self, entries):
        self._entries = entries
        self._random = random.Random(5)
        self._number = 0
        self.began_s = time.monotonic()
        self.calls = []

    async def ask(self, path, per_s, from_s, to_s):
        """Send requests at a steady rate within a time span."""
        async with curio.TaskGroup(wait=all) as group:
            for number in range(round((to_s - from_s) * per_s)):
                due_s = from_s + number / per_s
                await curio.sleep(max(0.0, due_s - self._now_s()))
                await group.spawn(self._call, path, due_s)

    def _now_s(self):
        return time.monotonic() - self.began_s

    async def _call(self, path, due_s):
        call = {"path": path, "due_s": due_s, "asked_s": self._now_s(), "tries": []}
        response = await self._try(call)
        if status_of(response) == 503:
            await curio.sleep(retry_after_s(response))
            response = await self._try(call)
        call["answered_s"] = self._now_s() if status_of(response) == 200 else None
        self.calls.append(call)

    async def _try(self, call):
        self._number += 1
        request = request_bytes(self._number, call["path"], "POST", b"x", (), KEY)
        number = self._random.randrange(len(self._entries))
        began_s = self._now_s()
        client = await curio.open_connection(*self._entries[number])
        async with client:
            await client.sendall(request)
            response = await read_response(client)
        call["tries"].append((number, status_of(response), began_s, self._now_s()))
        return response


def retry_after_s(response):
    """Return the seconds after which a refused caller should retry."""
    head = response.partition(b"\r\n\r\n")[0].lower()
    [value] = [
        line.split(b":")[1]
        for line in head.split(b"\r\n")
        if line.startswith(b"retry-after")
    ]
    return float(value)


async def run(entries):
    """Make all calls; return the result to print."""
    pauses = Pauses(SHORTEST_PAUSE_S)
    watching = await curio.spawn(pauses.keep_watching, daemon=True)
    callers = Callers(entries)
    async with curio.TaskGroup(wait=all) as group:
        await group.spawn(callers.ask, URGENT, URGENT_PER_S, 0.0, END_S)
        await group.spawn(callers.ask, DRAFT, DRAFT_PER_S, BURST_FROM_S, BURST_TO_S)
    await watching.cancel()
    return {
        "began_s": callers.began_s,
        "calls": callers.calls,
        "pauses": [(one.began_s, one.ended_s) for one in pauses.of_soak],
    }


def main(arguments):
    """Run the process."""
    entries = [Address.parse(text) for text in arguments]
    result = curio.run(run, [(one.host, one.port) for one in entries])
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
