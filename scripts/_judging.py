"""Verdict on an answer from the caller's view, checked byte for byte."""

import enum
import json

from standins.plain_service import answer_body
from standins.tokens import expected_answer

ERROR_EVENT = b"event: error\n"


class Verdict(enum.Enum):
    """Conclusion that a caller may draw from an answer."""

    ANSWERED = "answered"
    REFUSED_NOT_RUN = "refused_not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    WRONG_BYTES = "wrong_bytes"
    TRUNCATED_AS_WHOLE = "truncated_as_whole"


class Attempt:
    """An HTTP request of a caller and its verdict.

    Parameters
    ----------
    verdict : Verdict
        Verdict on the answer.
    reason : str
        Reason that the system stated, or that the caller determined.
    request_id : str or None
        Id that the system assigned to the request.
    answer : scripts._caller_http.RawAnswer
        Received answer.

    Attributes
    ----------
    entry : tuple or None
        Address of the entry that the request was sent to.
    started_at_s, ended_at_s : float
        Start and end, monotonic seconds.
    """

    __slots__ = (
        "answer",
        "ended_at_s",
        "entry",
        "reason",
        "request_id",
        "started_at_s",
        "verdict",
    )

    def __init__(self, verdict, reason, request_id, answer):
        self.verdict = verdict
        self.reason = reason
        self.request_id = request_id
        self.answer = answer
        self.entry = None
        self.started_at_s = 0.0
        self.ended_at_s = 0.0


def judge(call, answer):
    """Return the `Attempt` with the verdict on an answer.

    Parameters
    ----------
    call : Call
        Call that the attempt belongs to.
    answer : scripts._caller_http.RawAnswer
        Received answer.
    """
    request_id = answer.headers.get("siskinthread-request-id")
    verdict, reason = _judge(call, answer)
    return Attempt(verdict, reason, request_id, answer)


def _judge(call, answer):
    if not answer.sent:
        return Verdict.REFUSED_NOT_RUN, "no_connection"
    if answer.status is None:
        return Verdict.UNKNOWN, "lost_before_head"
    outcome = answer.headers.get("siskinthread-outcome")
    if outcome in (None, "answered") and answer.status == 200:
        return _judge_body(call, answer)
    if outcome == "answered":
        return Verdict.FAILED, f"status_{answer.status}"
    if outcome is None:
        return Verdict.UNKNOWN, f"status_{answer.status}_without_outcome"
    return Verdict(outcome), _stated_reason(bytes(answer.body))


def _judge_body(call, answer):
    body = bytes(answer.body)
    if answer.whole and _is_expected(call, body):
        return Verdict.ANSWERED, "complete"
    if answer.whole and ERROR_EVENT not in body:
        return Verdict.TRUNCATED_AS_WHOLE, f"{len(body)} bytes"
    text, _, error = body.partition(ERROR_EVENT)
    if call.kind == "draft" and not expected_answer(json.loads(call.body)).startswith(
        text
    ):
        return Verdict.WRONG_BYTES, "before the break"
    if not error:
        return Verdict.UNKNOWN, "broken"
    stated = error.removeprefix(b"data: ").strip()
    return Verdict(_stated(stated, "outcome", "unknown")), _stated_reason(stated)


def _is_expected(call, body):
    if call.kind == "draft":
        return body == expected_answer(json.loads(call.body))
    try:
        value = json.loads(body)
        path = "/" + call.target.split("/", 3)[3]
        return body == answer_body(value["number"], "POST", path, call.body)
    except (ValueError, KeyError, TypeError):
        return False


def _stated(body, field, default):
    try:
        return json.loads(body)["error"][field]
    except (ValueError, KeyError, TypeError):
        return default


def _stated_reason(body):
    return str(_stated(body, "reason", "unreadable"))
