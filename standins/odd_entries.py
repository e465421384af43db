"""Entries of servers as another writer may leave them in the platform's store."""

import json

UNENCODED = 900_000
DEEP = 100_000


def _with(**fields):
    """Return a function that builds an entry whose fields differ."""
    return lambda entry: json.dumps(entry | fields).encode()


def _address(text):
    """Return a function that builds an entry with another address.

    Parameters
    ----------
    text : str
        The address; ``{host}`` and ``{port}`` stand for those of a server.
    """

    def build(entry):
        host, _, port = entry["address"].rpartition(":")
        return _with(address=text.replace("{host}", host).replace("{port}", port))(
            entry
        )

    return build


def with_literal(document, path, literal):
    """Return the JSON of a document in which a value is written as a literal.

    Parameters
    ----------
    document : dict
        The document.
    path : list of str or int
        Names and indices that lead to the value.
    literal : str
        What stands in its place, which need not be JSON.
    """
    copy = json.loads(json.dumps(document))
    place = copy
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = "MARK"
    return json.dumps(copy).replace('"MARK"', literal).encode()


def _number(name, literal):
    """Return a function that builds an entry with a number as it is written."""
    return lambda entry: with_literal(entry, [name], literal)


def _without(name):
    return lambda entry: json.dumps(
        {key: value for key, value in entry.items() if key != name}
    ).encode()


def _as_sent(data):
    return lambda entry: data


# Functions of a sound entry, a dict, that return the bytes of an odd one.
ODD_VALUES = {
    "address of words": _address("in the cellar"),
    "address that is empty": _address(""),
    "address without port": _address("{host}"),
    "address without host": _address(":{port}"),
    "address with a name": _address("localhost:{port}"),
    "address of IPv6": _address("[::1]:{port}"),
    "address with blanks": _address(" {host}:{port} "),
    "address with a line end": _address("{host}:{port}\r\nX-A: b"),
    "address with a NUL": _address("{host}\0:{port}"),
    "address with a sign": _address("{host}:+{port}"),
    "address with an underscore": _address("{host}:1_0"),
    "address with a path": _address("http://{host}:{port}/"),
    "address with other digits": _address("{host}:\u0661\u0662\u0663\u0664"),
    "address with a superscript": _address("{host}:\u00b2"),
    "address of 900 kB": _address("1" * UNENCODED),
    "host of 5,000 digits": _address("1" * 5000 + ":{port}"),
    "port of 5,000 digits": _address("{host}:" + "1" * 5000),
    "port of 900 kB": _address("{host}:" + "9" * UNENCODED),
    "port of 5,000 zeros": _address("{host}:" + "0" * 5000 + "{port}"),
    "port 0": _address("{host}:0"),
    "port 65536": _address("{host}:65536"),
    "port -1": _address("{host}:-1"),
    "address is null": _with(address=None),
    "address is a list": _with(address=["127.0.0.1", 80]),
    "address is an object": _with(address={"host": "127.0.0.1"}),
    "address is a number": _with(address=80),
    "address is missing": _without("address"),
    "nested lists": _as_sent(b"[" * DEEP + b"]" * DEEP),
    "nested objects": _as_sent(b'{"a":' * DEEP + b"1" + b"}" * DEEP),
    "a field with nested lists": _number("zone", "[" * DEEP + "]" * DEEP),
    "slots 1e400": _number("slots", "1e400"),
    "slots NaN": _number("slots", "NaN"),
    "slots of 5,000 digits": _number("slots", "1" * 5000),
    "slots of 4,000 digits": _number("slots", "1" * 4000),
    "sequence 1e400": _number("sequence", "1e400"),
    "sequence of 5,000 digits": _number("sequence", "1" * 5000),
    "cold time -Infinity": _number("cold_remaining_ms", "-Infinity"),
    "cold time of 5,000 digits": _number("cold_remaining_ms", "1" * 5000),
    "start 1e400": _number("born", "1e400"),
    "start of 5,000 digits": _number("born", "1" * 5000),
    "service is a lone surrogate": _with(service="\ud800"),
    "zone is a lone surrogate": _with(zone="\udcff"),
    "zone with a line end": _with(zone="a\n"),
    "state of no name": _with(state="resting"),
    "no object": _as_sent(b"7"),
    "null": _as_sent(b"null"),
    "no JSON": _as_sent(b"\xff\xfe{]"),
    "UTF-16": lambda entry: json.dumps(entry).encode("utf-16"),
    "UTF-32": lambda entry: json.dumps(entry).encode("utf-32"),
    "surrogates as bytes": lambda entry: _with(note="MARK")(entry).replace(
        b"MARK", b"\xed\xa0\x80"
    ),
    "a blank": _as_sent(b" "),
}
# Keys that can't be sent as the id of a server in a header.
ODD_KEYS = {
    "beyond latin-1": "i-\u4e2d",
    "line end": "i-1\r\nX-A: b",
    "NUL": "i-\0",
    "control byte": "i-\x01",
    "DEL": "i-\x7f",
    "tab": "i-\t1",
    "latin-1": "i-\u00e9",
    "blank at the end": "i-1 ",
    "blank at the start": " i-1",
    "only a blank": " ",
    "no UTF-8": "i-\udcff",
    "empty": "",
}
