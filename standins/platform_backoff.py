"""Stand-ins of servers that request back-off or announce that they leave.

The body of a request, as `request_body` writes it, holds the name of the entry that it
was sent to and the time of sending, so that arrivals can be counted by entry.
"""

import json
import math
import time

from standins.platform_behaviours import answer_bytes, answer_whole, sealed

# Arrivals within this time after an answer that requests back-off are not counted: the
# entry may have sent them before it had the answer.
BACKOFF_SLACK_S = 0.5


def request_body(entry_name):
    """Return the body of a request that is sent to an entry at the present time."""
    return json.dumps([entry_name, time.monotonic()]).encode()


class _Arrival:
    """Arrival of a request at a server."""

    __slots__ = ("at_s", "entry_name", "sent_at_s")

    def __init__(self, request):
        self.entry_name, self.sent_at_s = json.loads(request.body)
        self.at_s = time.monotonic()


class BackoffService:
    """Behaviour of a server that declines requests and requests back-off.

    Parameters
    ----------
    backoff_text : str
        Value of ``Retry-After`` that its refusals carry, seconds.
    asks_s : float
        Period in which it requests back-off, from its first request on; afterwards it
        serves all requests.
    decline_interval : int
        It declines every n-th request in that period; 1 declines all of them.
    says_not_run : bool
        Whether its refusals state that the request was not run.

    Attributes
    ----------
    arrivals : list
        All requests, in the order of arrival.
    asked_count : int
        Number of answers that requested back-off.
    """

    __slots__ = (
        "_asks_s",
        "_decline_interval",
        "_first_at_s",
        "_backoff_text",
        "_backoffs",
        "_says_not_run",
        "arrivals",
        "asked_count",
    )

    def __init__(
        self, backoff_text, asks_s=math.inf, decline_interval=1, says_not_run=True
    ):
        self._backoff_text = backoff_text
        self._asks_s = asks_s
        self._decline_interval = decline_interval
        self._says_not_run = says_not_run
        self._first_at_s = None
        # Entry name and monotonic time of each answer that requested back-off.
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
        if not is_asking or (len(self.arrivals) - 1) % self._decline_interval:
            await answer_whole(server, request, client)
            return
        headers = [f"Retry-After: {self._backoff_text}", "X-Server-Load: 0,0,6"]
        if self._says_not_run:
            headers.append("X-Not-Executed: 1")
        self.asked_count += 1
        data = answer_bytes(request.request_id, "503 Service Unavailable", b"", headers)
        await client.sendall(data)
        self._backoffs.append((arrival.entry_name, time.monotonic()))

    def max_arrivals_in_backoff(self):
        """Return the most requests of one entry within one requested back-off."""
        backoff_s = float(self._backoff_text)
        return max(
            (
                sum(
                    BACKOFF_SLACK_S < arrival.at_s - asked_at_s < backoff_s
                    for arrival in self.arrivals
                    if arrival.entry_name == entry_name
                )
                for entry_name, asked_at_s in self._backoffs
            ),
            default=0,
        )


class LeavingService:
    """Behaviour of a server that announces in its answers that it leaves.

    Parameters
    ----------
    serves_s : float
        Time from its first request until it announces that it leaves.
    only_entry_name : str or None
        Name of the only entry that gets the announcement; None announces to all.

    Attributes
    ----------
    arrivals : list
        All requests, in the order of arrival.
    """

    __slots__ = (
        "_first_at_s",
        "_serves_s",
        "_only_entry_name",
        "_announced_at_s",
        "arrivals",
    )

    def __init__(self, serves_s, only_entry_name=None):
        self._serves_s = serves_s
        self._only_entry_name = only_entry_name
        self._first_at_s = None
        # Monotonic time of the first announcement to each entry.
        self._announced_at_s = {}
        self.arrivals = []

    async def __call__(self, server, request, client):
        """Answer one request."""
        arrival = _Arrival(request)
        self.arrivals.append(arrival)
        if self._first_at_s is None:
            self._first_at_s = arrival.at_s
        headers = sealed()
        is_leaving = arrival.at_s - self._first_at_s >= self._serves_s
        if is_leaving and self._only_entry_name in (None, arrival.entry_name):
            headers.append("Server-Leaving: 1")
        await client.sendall(answer_bytes(request.request_id, headers=headers))
        if "Server-Leaving: 1" in headers:
            self._announced_at_s.setdefault(arrival.entry_name, time.monotonic())

    def arrivals_after_first_notice(self, after_s):
        """Return the requests sent over `after_s` after the first announcement."""
        first_s = min(self._announced_at_s.values())
        return [
            arrival
            for arrival in self.arrivals
            if arrival.sent_at_s - first_s > after_s
        ]

    def late_arrivals(self, drain_s):
        """Return the requests sent over `drain_s` after their entry was informed."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.sent_at_s
            - self._announced_at_s.get(arrival.entry_name, math.inf)
            > drain_s
        ]
