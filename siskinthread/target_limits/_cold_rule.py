"""How many requests a cold target may get."""

import math


class ColdRule:
    """Bound of the requests to each cold target of one service.

    Parameters
    ----------
    service : siskinthread.gateway.Service
        Provides ``cold_start_s`` and ``cold_per_s``.
    settings : ColdTargetSettings
        By how much the rate may be exceeded, and which fraction of the bound is used.

    Attributes
    ----------
    start_s : float
        How long a target is cold after a start, seconds.
    usable_count : int
        Requests that all hosts together may send within a window.
    """

    __slots__ = ("start_s", "usable_count")

    def __init__(self, service, settings):
        bound = service.cold_per_s * settings.excess_ratio + settings.excess_count
        self.start_s = service.cold_start_s
        self.usable_count = math.floor(settings.used_share * bound)

    def quota(self, position, host_count):
        """Return the requests within a window of the host at one position of an order.

        Parameters
        ----------
        position, host_count : int
            Number of hosts before it in the order, and of all hosts.

        Notes
        -----
        The quota never rises with either number, so a host that counts too many hosts
        sends less than its share, never more.
        """
        share, rest = divmod(self.usable_count, host_count)
        return share + (position < rest)


def find_rules(services, settings):
    """Return the `ColdRule` of each service that has one, by service name.

    Parameters
    ----------
    services : dict of str to siskinthread.gateway.Service
        All services.
    settings : ColdTargetSettings
        An excess ratio of 0 disables all rules.
    """
    if not settings.excess_ratio:
        return {}
    return {
        name: ColdRule(service, settings)
        for name, service in services.items()
        if service.cold_start_s > 0 and service.cold_per_s > 0
    }
