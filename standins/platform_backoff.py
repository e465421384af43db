"""Stand-ins of servers that request back-off, and of those that say that they leave.

Requests tell in their body which entry they were sent to and when, as `request_body`
writes it, so that arrivals can be told apart by entry.
"""

import json
import math
import time

from standins.platform_behaviours import answer_bytes, answer_whole, sealed

# Arrivals count from so long after the answer that requested back-off.
BACKOFF_SLACK_S = 0.5


def request_body(entry_name):
    """Return the body of a request that is sent to an entry now."""
    return json.dumps([entry_name, time.monotonic()]).encode()


class _Arrival:
    """A request as it reached a server."""

    __slots__ = ("at_s", "entry_name", "sent_at_s")

    def __init__(self, request):
        self.entry_name, self.sent_at_s = json.loads(request.body)
        self.at_s = time.monotonic()


class BackoffService:
    """Behaviour of a server that turns requests away and requests back-off.

    Parameters
    ----------
    backoff_text : str
        What it asks for, seconds.
    asks_s : float
        How long it requests back-off, from its first request on; then it serves.
    declines_every : int
        Which of its requests it turns away meanwhile: each one, each second one, ...
    says_not_run : bool
        Whether its refusals say that they have not run the request.

    Attributes
    ----------
    arrivals : list
        All requests, in order.
    asked_count : int
        How often it has requested back-off.
    """

    __slots__ = (
        "_asks_s",
        "_declines_every",
        "_first_at_s",
        "_backoff_text",
        "_backoffs",
        "_says_not_run",
        "arrivals",
        "asked_count",
    )

    def __init__(
        self, backoff_text, asks_s=math.inf, declines_every=1, says_not_run=True
    ):
        self._backoff_text = backoff_text
        self._asks_s = asks_s
        self._declines_every = declines_every
        self._says_not_run = says_not_run
        self._first_at_s = None
        # Entry and time of each answer that requested back-off.
        self._backoffs = []
        self.arrivals = []
        self.asked_count = 0

    async def __call__(self, server, request, client):
        """Answer one request."""
        arrival = _Arrival(request)
        self.arrivals.append(arrival)
        if self._first_at_s is None:
            self._first_at_s = arrival.at_s
        is_asking = arrival.at_s - self._first_at_s < self._asks_s
        if not is_asking or (len(self.arrivals) - 1) % self._declines_every:
            await answer_whole(server, request, client)
            return
        headers = [f"Retry-After: {self._backoff_text}", "X-Server-Load: 0,0,6"]
        if self._says_not_run:
            headers.append("X-Not-Executed: 1")
        self.asked_count += 1
        data = answer_bytes(request.request_id, "503 Service Unavailable", b"", headers)
        await client.sendall(data)
        self._backoffs.append((arrival.entry_name, time.monotonic()))

    def most_in_a_backoff(self):
        """Return the most requests of one entry within a back-off asked of it."""
        backoff_s = float(self._backoff_text)
        return max(
            (
                sum(
                    BACKOFF_SLACK_S < one.at_s - asked_at_s < backoff_s
                    for one in self.arrivals
                    if one.entry_name == entry_name
                )
                for entry_name, asked_at_s in self._backoffs
            ),
            default=0,
        )


class LeavingService:
    """Behaviour of a server that says in its answers that it leaves.

    Parameters
    ----------
    serves_s : float
        How long it serves before, from its first request on.
    tells_only : str or None
        The only entry that it says so to, if not to all.

    Attributes
    ----------
    arrivals : list
        All requests, in order.
    """

    __slots__ = ("_first_at_s", "_serves_s", "_tells_only", "_told_at_s", "arrivals")

    def __init__(self, serves_s, tells_only=None):
        self._serves_s = serves_s
        self._tells_only = tells_only
        self._first_at_s = None
        # When each entry was told first.
        self._told_at_s = {}
        self.arrivals = []

    async def __call__(self, server, request, client):
        """Answer one request."""
        arrival = _Arrival(request)
        self.arrivals.append(arrival)
        if self._first_at_s is None:
            self._first_at_s = arrival.at_s
        headers = sealed()
        is_leaving = arrival.at_s - self._first_at_s >= self._serves_s
        if is_leaving and self._tells_only in (None, arrival.entry_name):
            headers.append("Server-Leaving: 1")
        await client.sendall(answer_bytes(request.request_id, headers=headers))
        if "Server-Leaving: 1" in headers:
            self._told_at_s.setdefault(arrival.entry_name, time.monotonic())

    def arrivals_behind_the_first_word(self, after_s):
        """Return the requests that were sent so long after any entry was told."""
        first_s = min(self._told_at_s.values())
        return [one for one in self.arrivals if one.sent_at_s - first_s > after_s]

    def late_arrivals(self, drain_s):
        """Return the requests that were sent so long after their entry was told."""
        return [
            one
            for one in self.arrivals
            if one.sent_at_s - self._told_at_s.get(one.entry_name, math.inf) > drain_s
        ]
