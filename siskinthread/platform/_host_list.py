"""Client of the host list: ``GET /hosts`` answers a JSON list of hosts.

Each host is an object with the fields of `HostEntry`.
"""

from siskinthread.errors import PlatformUnavailableError
from siskinthread.platform._http import HttpClient, parse_json


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

    __slots__ = ("_http",)

    def __init__(self, settings):
        self._http = HttpClient("host list", settings.host_list, settings.answer_wait_s)

    async def fetch(self):
        """Return the list of `HostEntry`.

        Raises
        ------
        PlatformUnavailableError
            If no readable answer came in time.
        """
        body = await self._http.get("/hosts")
        try:
            return [_read_entry(value) for value in parse_json("host list", body)]
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailableError(
                f"host list: unexpected answer: {error!r}"
            ) from error

    async def close(self):
        """Close the kept connection."""
        await self._http.close()


def _read_entry(value):
    return HostEntry(
        str(value["host"]),
        str(value["role"]),
        str(value["address"]),
        int(value["port"]),
        str(value["failure_domain"]),
        bool(value.get("leaving", False)),
    )
