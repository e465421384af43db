"""How frequent prompt parts are in a service's requests."""

from collections import deque

# Maximum number of services whose requests are counted; later services are not.
SERVICES_LIMIT = 64


class UsualParts:
    """Counts parts in the last requests of each service.

    Parameters
    ----------
    settings : PoisonSettings
        How many requests are counted, and from which share on a part is usual.
    """

    __slots__ = ("_requests", "_settings")

    def __init__(self, settings):
        self._settings = settings
        # Names of the parts of each recent request, by service.
        self._requests = {}

    def note(self, service_name, names):
        """Record a request that has arrived.

        Parameters
        ----------
        service_name : str
            Its service.
        names : tuple of str
            Its parts, see `part_name`.
        """
        requests = self._requests.get(service_name)
        if requests is None:
            if len(self._requests) >= SERVICES_LIMIT:
                return
            requests = deque(maxlen=self._settings.usual_window_count)
            self._requests[service_name] = requests
        requests.append(names)

    def is_usual(self, service_name, name):
        """Return whether a part exceeds `usual_share` of a service's requests."""
        requests = self._requests.get(service_name, ())
        count = sum(name in names for names in requests)
        return count > self._settings.usual_share * len(requests)
