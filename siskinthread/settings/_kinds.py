"""Kinds of settings beyond the built-in types."""

import ipaddress

_PORT_LIMIT = 65535
_PORT_DIGITS = 5


class Address:
    """An IP address and a TCP port, written ``"127.0.0.1:8080"`` or ``"[::1]:8080"``.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port; 0 lets the operating system choose one.
    """

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """Parse an address.

        Parameters
        ----------
        text : str

        Returns
        -------
        Address

        Raises
        ------
        ValueError
            If the IP address or the port is invalid; the message names the invalid
            part.
        """
        host, colon, port = text.rpartition(":")
        if not colon:
            raise ValueError('expected "IP number:port"')
        if host.startswith("[") and host.endswith("]"):
            number = _ip_number(ipaddress.IPv6Address, host[1:-1])
        else:
            number = _ip_number(ipaddress.IPv4Address, host)
        return cls(str(number), _port(port))

    def __eq__(self, other):
        if not isinstance(other, Address):
            return NotImplemented
        return (self.host, self.port) == (other.host, other.port)

    def __hash__(self):
        return hash((self.host, self.port))

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    def __repr__(self):
        return f"Address({self.host!r}, {self.port})"


def _ip_number(number_class, text):
    try:
        return number_class(text)
    except ValueError:
        raise ValueError(f'bad IP number "{text}"') from None


def _port(text):
    is_number = text.isascii() and text.isdigit() and len(text) <= _PORT_DIGITS
    if not is_number or int(text) > _PORT_LIMIT:
        raise ValueError(f'bad port "{text}", expected 0 to {_PORT_LIMIT}')
    return int(text)


class AddressList(list):
    """A list of `Address`."""


class StringList(list):
    """A list of strings."""


class Key:
    """A shared key, written ``{"id": ..., "secret": ...}``.

    Parameters
    ----------
    id : str
        Identifier of the key; sent unencrypted.
    secret : str
        Secret; omitted from ``repr`` and never logged.
    """

    __slots__ = ("id", "secret")

    def __init__(self, id, secret):
        self.id = id
        self.secret = secret

    def __eq__(self, other):
        if not isinstance(other, Key):
            return NotImplemented
        return (self.id, self.secret) == (other.id, other.secret)

    def __hash__(self):
        return hash((self.id, self.secret))

    def __repr__(self):
        return f"Key(id={self.id!r})"


class KeyList(list):
    """A list of `Key`; the first key signs."""


class Choice:
    """A string out of a fixed set; an instance serves as the kind of an `Item`.

    Parameters
    ----------
    *options : str
        Allowed values.
    """

    __slots__ = ("options",)

    def __init__(self, *options):
        self.options = options
