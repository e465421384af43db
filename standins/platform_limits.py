"""Stand-in of an overloaded server, which states the request rate it accepts."""

import time

from standins.platform_behaviours import answer_bytes, sealed


class LimitedService:
    """Behaviour of a server that answers completely and states a limit.

    Parameters
    ----------
    limit : str or None
        Limit as its answers state it, requests per second; None states no limit.

    Attributes
    ----------
    arrivals_s : list of float
        Times of arrival of its requests, monotonic seconds.
    named_at_s : float or None
        When the limit was first stated, monotonic seconds.
    """

    def __init__(self, limit=None):
        self.limit = limit
        self.arrivals_s = []
        self.named_at_s = None

    async def __call__(self, server, request, client):
        """Answer one request."""
        self.arrivals_s.append(time.monotonic())
        headers = sealed()
        if self.limit is not None:
            if self.named_at_s is None:
                self.named_at_s = time.monotonic()
            headers.append(f"Server-Limit: {self.limit}")
        await client.sendall(answer_bytes(request.request_id, headers=headers))

    def most_within(self, window_s, after_s):
        """Return the most arrivals in any window that begins at or after `after_s`."""
        arrivals_s = [at_s for at_s in self.arrivals_s if at_s >= after_s]
        most = 0
        first = 0
        for last, at_s in enumerate(arrivals_s):
            while arrivals_s[first] <= at_s - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most
