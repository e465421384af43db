"""Finds a request in structured log lines, and what was logged around it."""

import json

REQUEST_ENDED = "gateway: request ended"
# Decisions this long before a request may explain it: longer than a target or a group
# is passed over, and than a change of an expert map takes.
BEFORE_S = 6.0
AFTER_S = 0.5
# Fields whose values connect a line with a request's attempts.
CONNECTING_FIELDS = ("target", "group", "peer", "dependency")


class Trace:
    """What the log tells of one request.

    Parameters
    ----------
    request : dict
        Its own line.
    around : list of dict
        Lines on its targets, their groups and the process, oldest first.
    """

    __slots__ = ("around", "request")

    def __init__(self, request, around):
        self.request = request
        self.around = around

    def as_json(self):
        """Return both as one JSON text."""
        document = {"request": self.request, "around": self.around}
        return json.dumps(document, indent=2)

    def render(self):
        """Return both as lines for people."""
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
        begun_at = request["at"] - request["took_s"]
        lines += [_around_line(one, begun_at) for one in self.around]
        return "\n".join(lines)


def find_request(lines, request_id):
    """Return the `Trace` of a request, or None if no line is about it.

    Parameters
    ----------
    lines : iterable of str
        Log lines of one process; those that are no JSON are passed over.
    request_id : str
        The caller's id of the request.
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
    begun_at = request["at"] - request["took_s"]
    ended_at = request["at"] + AFTER_S
    fingerprint = request.get("fingerprint")
    return [
        event
        for event in events
        if event.get("event") != REQUEST_ENDED
        and event["at"] <= ended_at
        and (
            _is_connected(event, names, fingerprint, begun_at)
            or _limits_service(event, request.get("service"))
        )
    ]


def _limits_service(event, service):
    """Return whether a line tells of a limit of the request's service.

    A limit that was named long before may have refused a request that has no target.
    """
    return service is not None and event.get("limited_service") == service


def _is_connected(event, names, fingerprint, begun_at):
    """Return whether a line tells of a request, its targets or the process itself."""
    if "fingerprint" in event:
        # What earlier tries of a request did may have been decided on long before.
        return event["fingerprint"] == fingerprint
    if event["at"] < begun_at - BEFORE_S:
        return False
    stated = [event[name] for name in CONNECTING_FIELDS if name in event]
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


def _around_line(event, begun_at):
    fields = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in ("at", "level", "event")
    )
    return f"  {event['at'] - begun_at:+8.3f} s {event['event']} {fields}".rstrip()
