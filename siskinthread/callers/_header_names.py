"""Names of the headers that have a meaning between callers and this system."""

from siskinthread.http_server import HOP_BY_HOP_HEADERS, relayed_headers

AUTHORIZATION = "authorization"
IDEMPOTENCY_KEY = "idempotency-key"
IDEMPOTENT = "siskinthread-idempotent"
DEADLINE = "siskinthread-deadline"
TIMEOUT = "siskinthread-timeout-s"
ISSUED_AT = "siskinthread-issued-at"

SINGLE_HEADERS = frozenset(
    (AUTHORIZATION, IDEMPOTENCY_KEY, IDEMPOTENT, DEADLINE, TIMEOUT, ISSUED_AT)
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


def foreign_headers(headers, withheld):
    """Return the headers that go on to the other side, none of them our own.

    Parameters
    ----------
    headers : list of tuple of str
        Pairs of lower-case name and value.
    withheld : frozenset of str
        Further names to leave out.

    Returns
    -------
    list of tuple of str
    """
    return [
        (name, value)
        for name, value in relayed_headers(headers, withheld)
        if not name.startswith(OWN_PREFIX)
    ]
