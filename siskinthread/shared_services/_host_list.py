"""Client of the host list: ``GET /hosts`` returns a JSON list of hosts.

Each host is an object with the fields of `HostEntry`.
"""

import ipaddress

from siskinthread.errors import PlatformUnavailableError
from siskinthread.observability import part_logger
from siskinthread.shared_services._http import HttpClient, parse_json

PORT_LIMIT = 65_535

_logger = part_logger("host list")


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
        values = parse_json("host list", body)
        if not isinstance(values, list):
            raise PlatformUnavailableError("host list: the answer is no list")
        entries = [_read_entry(value) for value in values]
        return [entry for entry in entries if entry is not None]

    async def close(self):
        """Close the kept-alive connections."""
        await self._http.close()


def _read_entry(value):
    """Return the `HostEntry` of a JSON value; if malformed, log it and return None.

    A malformed entry of another writer must not hide the other hosts.
    """
    try:
        ipaddress.ip_address(_text(value["address"]))
        port = value["port"]
        if type(port) is not int or not 1 <= port <= PORT_LIMIT:
            raise ValueError("the port is out of range")
        return HostEntry(
            _text(value["host"]),
            _text(value["role"]),
            value["address"],
            port,
            _text(value["failure_domain"]),
            bool(value.get("leaving", False)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        _logger.warning("An entry names no host: %r", error)
        return None


def _text(value):
    """Return a text of printable characters."""
    if not (isinstance(value, str) and value and value.isprintable()):
        raise ValueError(f"{value!a:.80} is no name")
    return value
