"""Age and scale of the loads that other hosts report."""

from siskinthread.timing import Deadline


class PeerLoads:
    """How many hosts share the targets, and how often they report their loads.

    Parameters
    ----------
    settings : LoadControlSettings
        Weight of the newest loads.
    clock : siskinthread.timing.Clock
        Clock of the times.
    loads : TargetLoads
        Requests at each target; its ``peers`` may be None.
    """

    __slots__ = ("_clock", "_factors", "_loads", "_settings")

    def __init__(self, settings, clock, loads):
        self._settings = settings
        self._clock = clock
        self._loads = loads
        # Ratio of all hosts' requests to this host's, and its expiry, by service.
        self._factors = {}

    def update(self, service_name, entries):
        """Update the ratio from the loads of a service, at most once per interval."""
        known = self._factors.get(service_name)
        if known is not None and not known[1].passed():
            return
        own = sum(self._loads.own(entry.instance_id) for entry in entries)
        total = sum(self._loads.total(entry.instance_id) for entry in entries)
        factor = (total + self.host_count()) / (own + 1)
        if known is not None:
            factor = known[0] + self._settings.usual_weight * (factor - known[0])
        expiry = Deadline.after(self._clock, self.interval_s())
        self._factors[service_name] = (factor, expiry)

    def fleet_factor(self, service_name):
        """Return the ratio of the request rate of all hosts to that of this host.

        Callers may use only some of the hosts, so the ratio follows the requests in
        flight. One request is added for each host, so that the ratio is the number of
        hosts at low load.
        """
        known = self._factors.get(service_name)
        return self.host_count() if known is None else known[0]

    def has_peer_loads(self):
        """Return whether other hosts currently report their loads."""
        peers = self._loads.peers
        return peers is not None and peers.has_fresh_loads()

    def excess_tokens(self):
        """Return tokens beyond the typical size of peers' requests, by target."""
        return self._loads.peers.excess_tokens() if self.has_peer_loads() else {}

    def host_count(self):
        """Return the number of hosts that report their loads, including this one."""
        return (
            1 + self._loads.peers.full_rate_peer_count() if self.has_peer_loads() else 1
        )

    def interval_s(self):
        """Return the time between two reports of a host, seconds; 0 without peers."""
        return self._loads.peers.send_interval_s() if self.has_peer_loads() else 0.0

    def mean_age_s(self):
        """Return the mean age of the loads that other hosts reported, seconds."""
        return self.interval_s() / 2
