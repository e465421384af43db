"""What the rest of an entry sees of one link."""


class LinkStatus:
    """State of the link to one agent; the link keeps it up to date.

    Attributes
    ----------
    host : str
        Name of the agent's host.
    connected : bool
        Whether an authenticated connection is up.
    leaving : bool
        Whether the agent said that it takes no new work.
    load : LoadReport or None
        The newest report of the agent.
    load_received_at_s : float or None
        When it arrived, monotonic seconds.
    incarnation : str or None
        Incarnation of the agent at the newest connection.
    incarnations_seen : int
        How many incarnations of the agent the link has met.
    services : list of str
        Services that the agent stands before.
    """

    __slots__ = (
        "_in_flight",
        "_said_leaving",
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
        self._said_leaving = False
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
        """Exchanges of this entry on the link that have not ended."""
        return len(self._in_flight)

    def note_connection(self, hello):
        """Take over what the agent's `Hello` says."""
        if hello.incarnation != self.incarnation:
            self.incarnations_seen += 1
            self.load = None
            self.load_received_at_s = None
        self.connected = True
        self.leaving = False
        self._said_leaving = False
        self.incarnation = hello.incarnation
        self.services = list(hello.services or ())

    def note_load(self, load, now_s):
        """Take over a `LoadReport`."""
        self.load = load
        self.load_received_at_s = now_s
        # A mark on the host list may be taken back, and the report follows it; an agent
        # that sent Leaving never returns.
        self.leaving = self._said_leaving or load.leaving

    def note_leaving(self):
        """Take over a `Leaving`, final for the connection."""
        self._said_leaving = True
        self.leaving = True
