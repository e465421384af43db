"""Head of an HTTP request, and filtering of headers."""

from siskinthread.http_server._refusal import bad_request

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class RequestHead:
    """Request line and headers of a request.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : list of tuple of str
        Pairs of lower-case name and value.
    http_version : str
        HTTP version, for example "1.1".
    """

    __slots__ = ("headers", "http_version", "method", "target")

    def __init__(self, method, target, headers, http_version="1.1"):
        self.method = method
        self.target = target
        self.headers = headers
        self.http_version = http_version

    def value(self, name):
        """Return the value of the first header with a lower-case name, or None."""
        for candidate, value in self.headers:
            if candidate == name:
                return value
        return None

    def repeated_header(self, single_names):
        """Return a `Refusal` if a header that must be unique is repeated, else None.

        Of two keys or two deadlines either could be the wrong one.

        Parameters
        ----------
        single_names : frozenset of str
            Lower-case names of the headers that must be unique.
        """
        names = [name for name, _ in self.headers if name in single_names]
        for name in names:
            if names.count(name) > 1:
                return bad_request(f"The header {name} stands more than once.")
        return None

    def content_length(self):
        """Return the announced length of the body in bytes, or None."""
        for name, value in self.headers:
            if name == "content-length":
                return int(value)
        return None

    def has_body(self):
        """Return whether a body follows."""
        if any(name == "transfer-encoding" for name, _ in self.headers):
            return True
        return bool(self.content_length())


def relayed_headers(headers, withheld):
    """Return the headers that may be forwarded.

    Parameters
    ----------
    headers : list of tuple of str
        Pairs of lower-case name and value.
    withheld : frozenset of str
        Lower-case names to leave out, in addition to the names listed in
        ``Connection``.

    Returns
    -------
    list of tuple of str
    """
    nominated = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in withheld and name not in nominated
    ]
