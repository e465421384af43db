"""Kinds of setting beside the plain ones."""


class Address:
    """An IP number and a TCP port, written ``"127.0.0.1:8080"``.

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

    def __str__(self):
        return f"{self.host}:{self.port}"


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

    def __repr__(self):
        return f"Key(id={self.id!r})"


class KeyList(list):
    """A list of `Key`; the first one signs."""


class Choice:
    """One of several words.

    Parameters
    ----------
    *words : str
        The words that are allowed.
    """

    __slots__ = ("words",)

    def __init__(self, *words):
        self.words = words
