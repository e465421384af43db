"""Requests at a steady rate, sent to entries of a fleet in turn."""

import itertools
import time

import curio

from siskinthread.platform.tests.system import SAFE_PATH, status_of
from standins.platform_backoff import request_body


class Load:
    """Requests at a steady rate, and their results.

    Parameters
    ----------
    fleet : Fleet
        The entries.
    rate_per_s : float
        Requests per second.

    Attributes
    ----------
    statuses, responses, sent_at_s, took_s : list
        Results of each request, in the order of the answers; times are monotonic
        seconds.
    """

    def __init__(self, fleet, rate_per_s):
        self._fleet = fleet
        self._rate_per_s = rate_per_s
        self.statuses = []
        self.responses = []
        self.sent_at_s = []
        self.took_s = []

    async def run(self, entries, for_s):
        """Send requests to some entries in turn."""
        async with curio.TaskGroup(wait=all) as group:
            turns = itertools.cycle(entries)
            for _ in range(round(for_s * self._rate_per_s)):
                await group.spawn(self._send, next(turns))
                await curio.sleep(1 / self._rate_per_s)

    def served_share(self):
        """Return the fraction of the requests that were served."""
        return self.statuses.count(200) / len(self.statuses)

    def unserved(self):
        """Return times and responses of the requests that were not served.

        The times, in seconds, are that of the answer since the first request, and the
        duration of the request.  They distinguish a refusal from a machine that stood
        still.
        """
        return [
            (round(sent_at_s + took_s - min(self.sent_at_s), 3), round(took_s, 3), got)
            for status, got, sent_at_s, took_s in zip(
                self.statuses, self.responses, self.sent_at_s, self.took_s, strict=True
            )
            if status != 200
        ]

    async def _send(self, entry):
        name = f"entry-{self._fleet.entries.index(entry)}"
        sent_at_s = time.monotonic()
        response = await entry.request(SAFE_PATH, request_body(name))
        self.statuses.append(status_of(response))
        self.responses.append(response)
        self.sent_at_s.append(sent_at_s)
        self.took_s.append(time.monotonic() - sent_at_s)
