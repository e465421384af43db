"""Mean time that targets take for the requests of each service."""


class ServiceDurations:
    """Exponentially weighted mean request duration by service.

    Parameters
    ----------
    settings : LoadControlSettings
        Weight of the newest request.
    """

    __slots__ = ("_means_s", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._means_s = {}

    def note(self, service_name, took_s):
        """Record the duration of a request that was served, seconds."""
        mean_s = self._means_s.get(service_name, took_s)
        step_s = self._settings.usual_weight * (took_s - mean_s)
        self._means_s[service_name] = mean_s + step_s

    def mean_s(self, service_name):
        """Return the mean duration, seconds, or None before the first request."""
        return self._means_s.get(service_name)
