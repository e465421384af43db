"""Headers between callers, the gateway and the platform's servers."""

from siskinthread.gateway import (
    AnswerFacts,
    LoadReport,
    RequestFacts,
    STATUS_MISDIRECTED,
    TokenCounts,
)
from siskinthread.http_server import HOP_BY_HOP_HEADERS, relayed_headers
from siskinthread.platform._target_headers import (
    says_leaving,
    stated_backoff,
    stated_cold_s,
    stated_limit,
)

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-ms"
AUTHORIZATION = "authorization"
TOKEN_PREFIX = "token "
LAST_EVENT_ID = "last-event-id"
# Tokens of the prompt, and the limit of tokens of the answer.
TOKEN_COUNTS = "x-token-counts"
OUTPUT_HINT = "x-length-hint"
# Parts of the prompt in order, each as ID:TOKENS with a hexadecimal id.
PROMPT_PARTS = "x-prompt-prefix"
# Parts beyond this number count as the prompt's own, not as shared ones.
PROMPT_PARTS_LIMIT = 512
# Name of the client account; servers never see its key.
ACCOUNT = "x-tenant"
EXPECTED_INSTANCE = "x-expect-instance"
PRIORITY = "x-request-priority"
LOWEST_PRIORITY = 9
# Id of the failed rank because of which the whole group declines requests.
FAILED_RANK = "at-server"
NOT_RUN = "x-not-executed"
# Counts of running requests, waiting requests and slots.
LOAD = "x-server-load"
# `int` raises an error for a text of several thousand digits.
DIGITS_LIMIT = 18
MILLISECONDS_PER_SECOND = 1000

REQUEST_WITHHELD = HOP_BY_HOP_HEADERS | {
    AUTHORIZATION,
    DEADLINE,
    ACCOUNT,
    EXPECTED_INSTANCE,
    PRIORITY,
    LAST_EVENT_ID,
    "content-length",
    "expect",
}
ANSWER_WITHHELD = HOP_BY_HOP_HEADERS | {"content-length"}


class PlatformWire:
    """Reads and writes the platform's headers."""

    __slots__ = ()

    def read_request(self, head):
        """Return the `RequestFacts` of a caller's `RequestHead`."""
        deadline_ms = _number(head.value(DEADLINE))
        last_event_id = _number(head.value(LAST_EVENT_ID))
        return RequestFacts(
            head.value(REQUEST_ID) or "",
            _api_key(head.value(AUTHORIZATION)),
            None if deadline_ms is None else deadline_ms / MILLISECONDS_PER_SECOND,
            last_event_id,
            _token_counts(head.value(TOKEN_COUNTS)),
            _number(head.value(OUTPUT_HINT)),
            _shared_parts(head.value(PROMPT_PARTS)),
            # Entry hosts name the instance, and don't pass on the key.
            head.value(EXPECTED_INSTANCE) is not None
            and head.value(AUTHORIZATION) is None,
        )

    def target_headers(self, request, entry, last_event_id):
        """Return the headers of a request to a server.

        Parameters
        ----------
        request : siskinthread.gateway.GatewayRequest
            The request.
        entry : siskinthread.gateway.TargetEntry
            The server.
        last_event_id : int or None
            Id of the last event that the caller has received.
        """
        headers = relayed_headers(request.head.headers, REQUEST_WITHHELD)
        headers.append((DEADLINE, str(max(1, request.deadline.left_ms()))))
        # The address may have been reassigned to another server.
        headers.append((EXPECTED_INSTANCE, entry.listed_id))
        headers.append((PRIORITY, str(min(request.priority, LOWEST_PRIORITY))))
        if request.account is not None:
            headers.append((ACCOUNT, request.account.name))
        if last_event_id is not None:
            headers.append((LAST_EVENT_ID, str(last_event_id)))
        if request.body or request.head.has_body():
            headers.append(("content-length", str(len(request.body))))
        return _encoded(headers)

    def read_answer(self, head):
        """Return the `AnswerFacts` of a server's `siskinthread.outcomes.Head`."""
        values = dict(reversed(head.headers))
        is_other_instance = head.status == STATUS_MISDIRECTED
        return AnswerFacts(
            values.get(REQUEST_ID),
            NOT_RUN in values or is_other_instance,
            is_other_instance,
            FAILED_RANK in values,
            _load_report(values.get(LOAD)),
            _keep_alive_s(values.get("keep-alive")),
            "close" in values.get("connection", "").lower(),
            stated_limit(head.headers),
            stated_backoff(head.status, head.headers),
            says_leaving(head.headers),
            stated_cold_s(head.headers),
        )

    def answer_headers(self, head):
        """Return the headers of a server's answer that are forwarded to the caller."""
        return _encoded(relayed_headers(head.headers, ANSWER_WITHHELD))

    def own_headers(self, request_id, retry_after_s):
        """Return the headers of an answer that the gateway itself gives.

        Parameters
        ----------
        request_id : str
            The caller's id of the request; empty if it gave none.
        retry_after_s : float or None
            Time until a retry, seconds.  Callers accept fractions of a second.
        """
        headers = [("content-type", "application/json")]
        if request_id:
            headers.append((REQUEST_ID, request_id))
        if retry_after_s is not None:
            headers.append(("retry-after", f"{retry_after_s:.3f}"))
        return _encoded(headers)


def _encoded(headers):
    # h11 encodes text as ASCII, and callers' headers may hold other characters.
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def _number(text):
    if text is None or not text.strip().isdecimal() or len(text) > DIGITS_LIMIT:
        return None
    return int(text)


def _api_key(text):
    if text is None or text[: len(TOKEN_PREFIX)].lower() != TOKEN_PREFIX:
        return None
    return text[len(TOKEN_PREFIX) :].strip()


def _token_counts(text):
    if text is None:
        return None
    numbers = [_number(part) for part in text.split(",")]
    if len(numbers) != 2 or None in numbers:
        return None
    return TokenCounts(*numbers)


def _shared_parts(text):
    """Return the ids of all parts of a prompt except the last one."""
    if text is None:
        return ()
    parts = text.split(",", PROMPT_PARTS_LIMIT)[:-1]
    ids = [part.partition(":")[0].strip().lower() for part in parts]
    # Drop duplicates, and keep the order of the prompt.
    return tuple(dict.fromkeys(one for one in ids if one))


def _load_report(text):
    if text is None:
        return None
    numbers = [_number(part) for part in text.split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    return LoadReport(*numbers)


def _keep_alive_s(text):
    """Return how long a server keeps an idle connection, seconds, if stated."""
    if text is None:
        return None
    for part in text.split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout":
            return _number(value)
    return None
