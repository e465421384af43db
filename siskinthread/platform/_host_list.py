"""Client of the host list: ``GET /hosts`` answers a JSON list of hosts."""


class HostEntry:
    """One line of the host list.

    Parameters
    ----------
    host : str
        Name of the host.
    role : str
        "entry" or "agent".
    address : str
        IP number of the host's process for its peers.
    port : int
        TCP port of the same.
    failure_domain : str
        Failure domain of the host.
    leaving : bool
        Whether the host is about to be taken away.
    """

    __slots__ = ("address", "failure_domain", "host", "leaving", "port", "role")

    def __init__(self, host, role, address, port, failure_domain, leaving):
        self.host = host
        self.role = role
        self.address = address
        self.port = port
        self.failure_domain = failure_domain
        self.leaving = leaving


class HostListClient:
    """Client of the host list.

    Parameters
    ----------
    settings : PlatformSettings
        Address and waits.
    """

    __slots__ = ("_settings",)

    def __init__(self, settings):
        self._settings = settings

    async def fetch(self):
        """Return the list of `HostEntry`.

        Raises
        ------
        PlatformUnavailableError
            If no answer came in time.
        """
        raise NotImplementedError
