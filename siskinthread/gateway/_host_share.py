"""This host's share of the slots of a service."""


class HostShare:
    """Slots of a service, divided by the number of hosts that send requests.

    Parameters
    ----------
    settings : GatewaySettings
        Load at which requests are refused.
    targets : TargetList
        The targets.
    loads : TargetLoads
        Requests at the targets, and the peers.
    """

    __slots__ = ("_loads", "_settings", "_targets")

    def __init__(self, settings, targets, loads):
        self._settings = settings
        self._targets = targets
        self._loads = loads

    def rate_per_s(self, service_name, usual_s):
        """Return the rate of requests that this host can forward at full load, per s.

        Parameters
        ----------
        service_name : str
            The service.
        usual_s : float
            Usual duration of a request, seconds.
        """
        return self._usable_count(service_name) / self._host_count() / usual_s

    def free_count(self, service_name):
        """Return this host's share of the free slots of a service."""
        full_load = self._settings.full_load
        free_count = sum(
            max(0.0, one.slot_count * full_load - self._loads.total(one.instance_id))
            for one in self._targets.serving(service_name)
        )
        return free_count / self._host_count()

    def ending_per_s(self, service_name, usual_s):
        """Return the rate at which slots of this host's share are freed, per second."""
        used_count = sum(
            min(one.slot_count, self._loads.total(one.instance_id))
            for one in self._targets.serving(service_name)
        )
        return used_count / self._host_count() / usual_s

    def slot_count(self, service_name):
        """Return the number of slots of all targets of a service."""
        return sum(one.slot_count for one in self._targets.serving(service_name))

    def _usable_count(self, service_name):
        return self.slot_count(service_name) * self._settings.full_load

    def _host_count(self):
        peers = self._loads.peers
        return (
            1
            if peers is None
            else peers.fleet_count() or 1 + peers.full_rate_peer_count()
        )
