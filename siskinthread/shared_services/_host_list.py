"""Client of the host list: ``GET /hosts`` returns a JSON list of hosts.

Each host is an object with the fields of `HostEntry`.
"""

from siskinthread.errors import PlatformUnavailableError
from siskinthread.shared_services._http import HttpClient, parse_json


class HostEntry:
    """One host of the host list.

    Parameters
    ----------
    host : str
        Name of the host.
    role : str
        "entry" or "agent".
    address : str
        IP address on which the host's process listens for peers.
    port : int
        TCP port of that listener.
    failure_domain : str
        Failure domain of the host.
    leaving : bool
        Whether the host is about to be removed.
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
        Address and timeouts.
    """

    __slots__ = ("_entity_tag", "_entries", "_http")

    def __init__(self, settings):
        self._http = HttpClient("host list", settings.host_list, settings.answer_wait_s)
        self._entity_tag = None
        self._entries = []

    async def fetch(self):
        """Return the list of `HostEntry`.

        Raises
        ------
        PlatformUnavailableError
            If no valid answer arrived in time.

        Notes
        -----
        The service answers 304 while its ``ETag`` is unchanged.  If each of 1000 hosts
        read the whole list once a second, each would receive 120 KB/s, 40 times the
        limit for control traffic.
        """
        answer = await self._http.get_if_changed("/hosts", self._entity_tag)
        if answer is not None:
            self._entries = self._read(answer.body)
            self._entity_tag = answer.entity_tag
        return self._entries

    def _read(self, body):
        try:
            return [_read_entry(value) for value in parse_json("host list", body)]
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailableError(
                f"host list: unexpected answer: {error!r}"
            ) from error

    async def close(self):
        """Close the kept-alive connections."""
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
