"""How many of a service's requests have a part of prompts."""

from collections import deque

# Services whose requests are counted; of more, those that come last are not.
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
        # Names of the parts of each of the last requests, by service.
        self._requests = {}

    def note(self, service_name, names):
        """Note a request that has come.

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
        """Return whether most of the last requests of a service have a part."""
        requests = self._requests.get(service_name, ())
        count = sum(name in names for names in requests)
        return count > self._settings.usual_share * len(requests)
