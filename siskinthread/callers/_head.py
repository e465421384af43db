"""Head of a caller's request."""

from siskinthread.callers._refusal import bad_request

AUTHORIZATION = "authorization"
IDEMPOTENCY_KEY = "idempotency-key"
IDEMPOTENT = "siskinthread-idempotent"
DEADLINE = "siskinthread-deadline"
TIMEOUT = "siskinthread-timeout-s"
ISSUED_AT = "siskinthread-issued-at"

SINGLE_HEADERS = frozenset(
    (AUTHORIZATION, IDEMPOTENCY_KEY, IDEMPOTENT, DEADLINE, TIMEOUT, ISSUED_AT)
)
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
# A target must not get the caller's key, and must not take a caller's word for what the
# system itself states.  A compressed answer could not carry a readable error event.
WITHHELD_HEADERS = HOP_BY_HOP_HEADERS | {
    AUTHORIZATION,
    IDEMPOTENCY_KEY,
    "accept-encoding",
    "content-length",
    "expect",
    "host",
    "x-account",
    "x-priority",
    "x-request-id",
}
OWN_PREFIX = "siskinthread-"


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

    __slots__ = ("_singles", "headers", "http_version", "method", "target")

    def __init__(self, method, target, headers, http_version="1.1"):
        self.method = method
        self.target = target
        self.headers = headers
        self.http_version = http_version
        self._singles = {
            name: value for name, value in headers if name in SINGLE_HEADERS
        }

    def value(self, name):
        """Return one of the headers that may stand once, or None."""
        return self._singles.get(name)

    def repeated_header(self):
        """Return a `Refusal` if a header stands twice that may stand once.

        With two keys or two deadlines any choice could be the wrong one.
        """
        names = [name for name, _ in self.headers if name in SINGLE_HEADERS]
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
        if name not in withheld
        and name not in nominated
        and not name.startswith(OWN_PREFIX)
    ]
