"""Head of a caller's request."""

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
    """Request line and headers.

    Parameters
    ----------
    method, target : str
        Request line.
    headers : list of tuple of str
        Pairs of lower-case name and value.
    http_version : str
        For example "1.1".
    """

    __slots__ = ("headers", "http_version", "method", "target")

    def __init__(self, method, target, headers, http_version="1.1"):
        self.method = method
        self.target = target
        self.headers = headers
        self.http_version = http_version

    def value(self, name):
        """Return the first header of a lower-case name, or None."""
        for candidate, value in self.headers:
            if candidate == name:
                return value
        return None

    def repeated_header(self, single_names):
        """Return a `Refusal` if a header stands twice that may stand once.

        With two keys or two deadlines any choice could be the wrong one.

        Parameters
        ----------
        single_names : frozenset of str
            Lower-case names of these headers.
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
    """Return the headers that go on to the other side.

    Parameters
    ----------
    headers : list of tuple of str
        Pairs of lower-case name and value.
    withheld : frozenset of str
        Names to leave out beside those that ``Connection`` nominates and our own.

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
