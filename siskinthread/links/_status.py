"""Status of one link, as the rest of an entry reads it."""


class LinkStatus:
    """Status of the link to one agent, updated by the link.

    Attributes
    ----------
    host : str
        Name of the agent's host.
    connected : bool
        Whether an authenticated connection is established.
    leaving : bool
        Whether the agent takes no new requests.
    load : LoadReport or None
        The latest report of the agent.
    load_received_at_s : float or None
        When the report arrived, in seconds of the monotonic clock.
    incarnation : str or None
        Incarnation of the agent at the latest connection.
    incarnations_seen : int
        Number of incarnations of the agent to which the link has connected.
    services : list of str
        Services that the agent serves.
    """

    __slots__ = (
        "_in_flight",
        "_leaving_announced",
        "connected",
        "host",
        "incarnation",
        "incarnations_seen",
        "leaving",
        "load",
        "load_received_at_s",
        "services",
    )

    def __init__(self, host, in_flight):
        self._in_flight = in_flight
        self._leaving_announced = False
        self.host = host
        self.connected = False
        self.leaving = False
        self.load = None
        self.load_received_at_s = None
        self.incarnation = None
        self.incarnations_seen = 0
        self.services = []

    @property
    def outstanding(self):
        """Number of exchanges of this entry on the link that have not ended."""
        return len(self._in_flight)

    def note_connection(self, hello):
        """Update the status from the agent's `Hello` on a new connection."""
        if hello.incarnation != self.incarnation:
            self.incarnations_seen += 1
            self.load = None
            self.load_received_at_s = None
        self.connected = True
        self.leaving = False
        self._leaving_announced = False
        self.incarnation = hello.incarnation
        self.services = list(hello.services or ())

    def note_load(self, load, now_s):
        """Record a `LoadReport` that arrived at `now_s`."""
        self.load = load
        self.load_received_at_s = now_s
        # The report follows the host list, whose mark may be withdrawn.  An agent that
        # sent Leaving never returns.
        self.leaving = self._leaving_announced or load.leaving

    def note_leaving(self):
        """Record a `Leaving`, which is final for the connection."""
        self._leaving_announced = True
        self.leaving = True
