"""Which target last served a prompt prefix."""

import collections


class PrefixAffinity:
    """A bounded LRU cache of prefixes and their hosts.

    Parameters
    ----------
    settings : RoutingSettings
        Provides ``affinity_limit``.
    """

    __slots__ = ("_hosts", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._hosts = collections.OrderedDict()

    def host(self, request):
        """Return the host that last served the request's prefix, or None."""
        if request.prefix_key is None:
            return None
        return self._hosts.get(_key(request))

    def note(self, request, host):
        """Record that a host serves the request's prefix."""
        if request.prefix_key is None:
            return
        key = _key(request)
        self._hosts[key] = host
        self._hosts.move_to_end(key)
        if len(self._hosts) > self._settings.affinity_limit:
            self._hosts.popitem(last=False)


def _key(request):
    return request.service.name, request.prefix_key
