"""Output lengths of the responses of each route."""

from collections import deque

# Responses kept per route: enough for the 0.9 quantile.
RESPONSES_KEPT = 50
# Quantile of the lengths that is expected.
QUANTILE = 0.9


class OutputLengths:
    """Lengths of the latest complete responses by route, in tokens."""

    __slots__ = ("_expected", "_latest")

    def __init__(self):
        self._latest = {}
        self._expected = {}

    def note(self, route_name, tokens):
        """Record the length of a complete response."""
        latest = self._latest.setdefault(route_name, deque(maxlen=RESPONSES_KEPT))
        latest.append(tokens)
        ordered = sorted(latest)
        self._expected[route_name] = ordered[int(QUANTILE * (len(ordered) - 1))]

    def expected(self, route_name):
        """Return the length that most responses don't exceed, or None if unknown."""
        return self._expected.get(route_name)
