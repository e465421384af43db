"""Responses that the entry writes itself: refusals, failures and lists."""

import json
import math

from siskinthread.outcomes import Outcome

JSON_TYPE = ("content-type", "application/json")
TEXT_TYPE = ("content-type", "text/plain; charset=utf-8")
METRICS_TYPE = ("content-type", "text/plain; version=0.0.4; charset=utf-8")
OUTCOME_HEADER = "siskinthread-outcome"
REQUEST_ID_HEADER = "siskinthread-request-id"
CLOSE = ("connection", "close")


def error_document(end, request_id):
    """Return the JSON body, as bytes, for an `End` that is not ``ANSWERED``."""
    error = {
        "outcome": end.outcome.label,
        "reason": str(end.reason),
        "message": end.message,
        "request_id": request_id,
        "retry_after_s": end.retry_after_s,
    }
    return json.dumps({"error": error}).encode()


def error_event(end, request_id):
    """Return the server-sent event, as bytes, that ends a broken stream."""
    return b"event: error\ndata: " + error_document(end, request_id) + b"\n\n"


async def write_error_response(
    connection, end, request_id, status, headers=(), closes=False
):
    """Write the response for an `End` that is not ``ANSWERED``.

    Parameters
    ----------
    connection : CallerConnection
        Connection to the caller.
    end : siskinthread.outcomes.End
        End of the request.
    request_id : str or None
        Id of the request, if it has one.
    status : int
        HTTP status.
    headers : iterable of tuple of str
        Additional headers.
    closes : bool
        Whether the connection is closed after this response.
    """
    fields = [JSON_TYPE, (OUTCOME_HEADER, end.outcome.label), *headers]
    if request_id is not None:
        fields.append((REQUEST_ID_HEADER, request_id))
    if end.retry_after_s is not None:
        fields.append(("retry-after", str(math.ceil(end.retry_after_s))))
    body = error_document(end, request_id)
    await write_local_response(connection, status, fields, body, closes)


async def write_local_response(connection, status, headers, body, closes=False):
    """Write a complete response that the entry itself produced."""
    fields = [*headers, ("content-length", str(len(body)))]
    if closes:
        fields.append(CLOSE)
    await connection.write_whole(status, fields, body)


def answered_headers(request_id):
    """Return the headers that mark a complete answer."""
    return [
        (OUTCOME_HEADER, Outcome.ANSWERED.label),
        (REQUEST_ID_HEADER, request_id),
    ]
