"""Mean time that targets take for the requests of each route."""

# Maximum number of routes.
ROUTES_LIMIT = 512


class RouteDurations:
    """Exponentially weighted mean of the request durations of each route.

    Parameters
    ----------
    settings : WaitingSettings
        Weight of the latest request.
    """

    __slots__ = ("_settings", "_usual_s")

    def __init__(self, settings):
        self._settings = settings
        self._usual_s = {}

    def note(self, route_name, took_s):
        """Record the time that a target took for an answered request, seconds."""
        usual_s = self._usual_s.get(route_name)
        if usual_s is None:
            if len(self._usual_s) >= ROUTES_LIMIT:
                del self._usual_s[next(iter(self._usual_s))]
            usual_s = took_s
        weight = self._settings.took_weight
        self._usual_s[route_name] = usual_s + weight * (took_s - usual_s)

    def usual_s(self, route_name):
        """Return the mean duration of a request, seconds; 0 if unknown."""
        return self._usual_s.get(route_name, 0.0)

    def known_s(self, route_name):
        """Return the mean duration of a request, seconds, or None if unknown."""
        return self._usual_s.get(route_name)
