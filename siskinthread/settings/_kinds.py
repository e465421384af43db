"""Kinds of setting beside the plain ones."""

import ipaddress

_PORT_LIMIT = 65535
_PORT_DIGITS = 5


class Address:
    """An IP number and a TCP port, written ``"127.0.0.1:8080"`` or ``"[::1]:8080"``.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port; 0 lets the system choose.
    """

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """Read an address from its written form.

        Parameters
        ----------
        text : str

        Returns
        -------
        Address

        Raises
        ------
        ValueError
            If the IP number or the port is bad; the message says which.
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
        Name of the key; it is sent in the clear.
    secret : str
        The secret; it is never logged.
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
    """A list of `Key`; the first one signs."""


class Choice:
    """One of several words; an instance is the kind of a setting.

    Parameters
    ----------
    *words : str
        The words that are allowed.
    """

    __slots__ = ("words",)

    def __init__(self, *words):
        self.words = words
