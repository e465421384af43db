"""A server's own entry in the platform's store, decoded to a target entry.

Entries are not written by servers only.  A malformed entry of another writer names no
target, as requests would go to an address at which no process, or another service,
listens.
"""

import ipaddress

from siskinthread.errors import DocumentError
from siskinthread.gateway import TargetEntry

READY = "ready"
DRAINING = "draining"
PORT_LIMIT = 65_535
# `int` raises an error for a text of several thousand digits.
PORT_DIGITS_LIMIT = 5
MILLISECONDS_PER_SECOND = 1000
# Far above the value of any server; a larger number would not fit a float.
COLD_LIMIT_MS = 86_400_000
# Far above the value of any server; with a larger number a target would always look
# idle.
SLOT_LIMIT = 100_000


def read_target_entry(key, document):
    """Return the `TargetEntry` of a server.

    Parameters
    ----------
    key : str
        The server's id, which the document does not repeat.
    document : object
        The decoded JSON.

    Raises
    ------
    DocumentError
        If a required field is missing or malformed.
    """
    reader = _FieldReader(key, document)
    host, port = reader.address("address")
    reader.text("version")
    started_unix_ms = reader.started_at()
    return TargetEntry(
        instance_id=instance_id(key, started_unix_ms),
        service_name=reader.text("service"),
        host=host,
        port=port,
        failure_domain=reader.text("zone"),
        slot_count=reader.slot_count("slots"),
        is_leaving=reader.state("state") == DRAINING,
        listed_id=key,
        cold_left_s=reader.cold_left_s("cold_remaining_ms"),
        report_number=reader.count("sequence"),
        started_unix_ms=started_unix_ms,
    )


def instance_id(server_id, started_unix_ms):
    """Return the id of one start of a server.

    Parameters
    ----------
    server_id : str
        The id under which it is listed; earlier starts may have had the same.
    started_unix_ms : int or None
        Time of the start, Unix milliseconds; None if it is not stated.
    """
    return server_id if started_unix_ms is None else f"{server_id}@{started_unix_ms}"


def read_started_at(document):
    """Return when a server started, Unix milliseconds; None if it is not stated.

    Raises
    ------
    ValueError
        If the value is not an integer from 0 on.
    """
    value = document.get("born")
    if value is not None and (type(value) is not int or value < 0):
        raise ValueError(f"born is {value!r}, not an integer from 0 on")
    return value


class _FieldReader:
    """Reads and checks the fields of one entry."""

    __slots__ = ("_document", "_key")

    def __init__(self, key, document):
        self._key = key
        self._document = document
        if not _can_be_sent(key):
            raise DocumentError([f"{key!a}: no header can hold this id"])
        if not isinstance(document, dict):
            raise DocumentError([f"{key}: the entry is not a JSON object"])

    def text(self, name):
        """Return a string of printable characters that is not empty."""
        value = self._document.get(name)
        if not (isinstance(value, str) and value and value.isprintable()):
            self._refuse(name, value)
        return value

    def count(self, name):
        """Return an integer from 0 on; booleans are refused."""
        value = self._document.get(name)
        if type(value) is not int or value < 0:
            self._refuse(name, value)
        return value

    def slot_count(self, name):
        """Return the number of requests that a server may run at once."""
        value = self.count(name)
        if not 1 <= value <= SLOT_LIMIT:
            self._refuse(name, value)
        return value

    def cold_left_s(self, name):
        """Return a time in seconds that is stated in milliseconds."""
        return min(self.count(name), COLD_LIMIT_MS) / MILLISECONDS_PER_SECOND

    def state(self, name):
        """Return the state of a server, ready or draining."""
        value = self.text(name)
        if value not in (READY, DRAINING):
            self._refuse(name, value)
        return value

    def address(self, name):
        """Return an IPv4 address and a port."""
        value = self.text(name)
        host, _, port = value.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            self._refuse(name, value)
        if not _is_port(port):
            self._refuse(name, value)
        return host, int(port)

    def started_at(self):
        """Return when the server started, Unix milliseconds, or None."""
        try:
            return read_started_at(self._document)
        except ValueError as error:
            raise DocumentError([f"{self._key}: {error}"]) from error

    def _refuse(self, name, value):
        shown = ascii(value)[:80]
        raise DocumentError([f"{self._key}: {name} is {shown}"])


def _can_be_sent(server_id):
    """Return whether an id is unchanged when it is sent as the value of a header."""
    is_visible = server_id.isascii() and server_id.isprintable()
    return is_visible and server_id == server_id.strip() != ""


def _is_port(text):
    """Return whether a text is a port in decimal digits."""
    if not (text.isascii() and text.isdecimal() and len(text) <= PORT_DIGITS_LIMIT):
        return False
    return 1 <= int(text) <= PORT_LIMIT
