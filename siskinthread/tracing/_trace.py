"""Finds a request in structured log lines, with the lines related to it."""

import json

REQUEST_ENDED = "gateway: request ended"
# Decisions up to this long before a request may explain its outcome.  The time exceeds
# that for which a target or a group is passed over, and that of an expert map change.
BEFORE_S = 6.0
AFTER_S = 0.5
# Fields whose values relate a line to the attempts of a request.
RELATING_FIELDS = ("target", "group", "peer", "dependency")


class Trace:
    """The log lines on one request.

    Parameters
    ----------
    request : dict
        The line that ends the request.
    around : list of dict
        Lines on its targets, their groups and the process, in the order of the log.
    """

    __slots__ = ("around", "request")

    def __init__(self, request, around):
        self.request = request
        self.around = around

    def as_json(self):
        """Return the request and the related lines as JSON text."""
        document = {"request": self.request, "around": self.around}
        return json.dumps(document, indent=2)

    def render(self):
        """Return the request and the related lines as text for readers."""
        request = self.request
        lines = [
            f"request {request['id']}: {request['outcome']}, {request['reason']}",
            f"  status {request['status']}, took {request['took_s']} s",
        ]
        if request.get("explanation"):
            lines.append(f"  {request['explanation']}")
        lines.append(
            f"  route {request['route']}, service {request['service']}, account "
            f"{request['account']}, configuration {request['version']}, confirmed "
            f"{request['configuration_age_s']} s before"
        )
        if request.get("fingerprint"):
            lines.append(f"  fingerprint of all its tries: {request['fingerprint']}")
        if "first_bytes_s" in request:
            lines.append(
                f"  first bytes after {request['first_bytes_s']} s, longest pause "
                f"{request['longest_pause_s']} s"
            )
        lines += [_attempt_line(attempt) for attempt in request["attempts"]]
        started_at = request["at"] - request["took_s"]
        lines += [_around_line(event, started_at) for event in self.around]
        return "\n".join(lines)


def find_request(lines, request_id):
    """Return the `Trace` of a request, or None if no line is about it.

    Parameters
    ----------
    lines : iterable of str
        Log lines of one process; lines that are not JSON objects are skipped.
    request_id : str
        Id that the caller gave to the request.
    """
    events = [event for event in map(_read, lines) if event is not None]
    request = None
    for event in events:
        if event.get("event") == REQUEST_ENDED and event.get("id") == request_id:
            request = event
    if request is None:
        return None
    return Trace(request, _around(events, request))


def _read(line):
    try:
        event = json.loads(line)
    except ValueError:
        return None
    return event if isinstance(event, dict) and "at" in event else None


def _around(events, request):
    names = set()
    for attempt in request["attempts"]:
        names |= {attempt["target"], attempt.get("group")}
    names.discard(None)
    started_at = request["at"] - request["took_s"]
    ended_at = request["at"] + AFTER_S
    fingerprint = request.get("fingerprint")
    return [
        event
        for event in events
        if event.get("event") != REQUEST_ENDED
        and event["at"] <= ended_at
        and (
            _is_related(event, names, fingerprint, started_at)
            or _limits_service(event, request.get("service"))
        )
    ]


def _limits_service(event, service):
    """Return whether a line is about a limit of the request's service.

    A limit that was reported long before may be the reason that a request without a
    target was refused.
    """
    return service is not None and event.get("limited_service") == service


def _is_related(event, names, fingerprint, started_at):
    """Return whether a line is about the request, its targets or the process."""
    if "fingerprint" in event:
        # Earlier tries of the request may have taken place long before.
        return event["fingerprint"] == fingerprint
    if event["at"] < started_at - BEFORE_S:
        return False
    stated = [event[name] for name in RELATING_FIELDS if name in event]
    if "target" in event or "group" in event:
        return any(value in names for value in stated)
    return True


def _attempt_line(attempt):
    text = f"  {attempt['target']}"
    if attempt.get("group"):
        text += f" of group {attempt['group']}"
    text += f" with {attempt['load']} requests for {attempt['slots']} slots"
    text += f": {attempt['result']}"
    if attempt["reason"]:
        text += f", {attempt['reason']}"
    if attempt.get("target_ended"):
        text += "; the target has ended"
    if attempt.get("list_age_s") is not None:
        text += f"; chosen by a list {attempt['list_age_s']} s old"
    if attempt.get("rested_s") is not None:
        text += f"; on a connection that had rested {attempt['rested_s']} s"
    if attempt.get("backoff_asked_s"):
        text += f"; requested back-off for {attempt['backoff_asked_s']:g} s"
    if attempt.get("says_leaving"):
        text += "; said that it leaves"
    return text


def _around_line(event, started_at):
    fields = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in ("at", "level", "event")
    )
    return f"  {event['at'] - started_at:+8.3f} s {event['event']} {fields}".rstrip()
