"""Stand-in of the platform's host list.

Run it with ``python -m standins.host_list --port 0 --lag-s 1``.  ``GET /hosts`` answers
the list; ``PUT /hosts/NAME`` with a host entry and ``DELETE /hosts/NAME`` change it,
visibly only after the lag.  ``POST /faults`` accepts ``down`` (bool), ``delay_ms`` and
``empty`` (bool: the answered list has no hosts).
"""

import argparse
import collections
import json
import time

import curio

from standins._http_server import add_server_options, CloseConnection, run_standin

MILLISECONDS_PER_SECOND = 1000
HOSTS_PREFIX = "/hosts/"


class Change:
    """A change of one entry, with the monotonic time at which it becomes visible."""

    __slots__ = ("entry", "name", "visible_at_s")

    def __init__(self, visible_at_s, name, entry):
        self.visible_at_s = visible_at_s
        self.name = name
        self.entry = entry


class HostListStandin:
    """Host list whose changes become visible after a lag.

    Parameters
    ----------
    options : argparse.Namespace
        With ``lag_s``.
    """

    __slots__ = (
        "_applied_count",
        "_changes",
        "_entries",
        "_options",
        "delay_ms",
        "down",
        "empty",
    )

    def __init__(self, options):
        self._options = options
        self._entries = {}
        self._changes = collections.deque()
        self._applied_count = 0
        self.down = False
        self.empty = False
        self.delay_ms = 0

    async def handle(self, request, exchange):
        """Answer one request."""
        if request.path == "/faults":
            faults = request.json()
            self.down = faults.get("down", self.down)
            self.empty = faults.get("empty", self.empty)
            self.delay_ms = faults.get("delay_ms", self.delay_ms)
            await exchange.answer_json(200, {})
        elif request.path.startswith(HOSTS_PREFIX):
            self._change(request)
            await exchange.answer_json(200, {})
        elif request.path == "/hosts":
            await self._answer_hosts(request, exchange)
        else:
            await exchange.answer_json(404, {"error": "no such path"})

    async def _answer_hosts(self, request, exchange):
        if self.down:
            raise CloseConnection
        if self.delay_ms:
            await curio.sleep(self.delay_ms / MILLISECONDS_PER_SECOND)
        self._apply_due_changes()
        tag = f'"{self._applied_count}-{self.empty}"'
        if request.headers.get("if-none-match") == tag:
            await exchange.answer(304, b"", more=[("etag", tag)])
            return
        entries = [] if self.empty else list(self._entries.values())
        body = json.dumps(entries).encode()
        await exchange.answer(200, body, more=[("etag", tag)])

    def _change(self, request):
        name = request.path.removeprefix(HOSTS_PREFIX)
        entry = request.json() if request.method == "PUT" else None
        visible_at_s = time.monotonic() + self._options.lag_s
        self._changes.append(Change(visible_at_s, name, entry))

    def _apply_due_changes(self):
        now_s = time.monotonic()
        while self._changes and self._changes[0].visible_at_s <= now_s:
            change = self._changes.popleft()
            self._applied_count += 1
            if change.entry is None:
                self._entries.pop(change.name, None)
            else:
                self._entries[change.name] = change.entry


def add_options(parser):
    """Add the host list's own options to an argument parser."""
    parser.add_argument(
        "--lag-s", type=float, default=0.0, help="time until a change is visible"
    )


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="stand-in of the host list")
    add_server_options(parser)
    add_options(parser)
    options = parser.parse_args()
    run_standin(HostListStandin(options).handle, options)


if __name__ == "__main__":
    main()
