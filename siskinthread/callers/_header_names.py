"""Names of the headers that the entry interprets, and header filtering."""

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
# Targets must not receive the caller's key, nor headers from a caller that only the
# entry may set.  A compressed answer could not carry a readable error event.
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


def forwarded_headers(headers, withheld):
    """Return the headers to forward, without those of this system.

    Parameters
    ----------
    headers : list of tuple of str
        Pairs of lower-case name and value.
    withheld : frozenset of str
        Additional lower-case names to leave out.

    Returns
    -------
    list of tuple of str
    """
    return [
        (name, value)
        for name, value in relayed_headers(headers, withheld)
        if not name.startswith(OWN_PREFIX)
    ]
