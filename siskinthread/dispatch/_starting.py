"""Build the frame that starts an attempt at a target."""

from siskinthread.wire import Header, StartRequest

# Placeholder of a request without an idempotency key; the agent ignores it.
NO_HOMES_VERSION = -1


def build_start_request(request, state):
    """Return the `StartRequest` of an attempt.

    Parameters
    ----------
    request : CallerRequest
        The request.
    state : siskinthread.configuration.State
        Configuration with which the target was chosen.

    Returns
    -------
    siskinthread.wire.StartRequest
        Without ``attempt`` and ``window_bytes``, which the link sets.
    """
    service_name = request.service.name
    return StartRequest(
        request_id=request.request_id,
        service_name=service_name,
        account=request.account.name,
        priority=request.priority,
        idempotent=request.idempotent,
        idempotency_key=request.idempotency_key,
        time_left_ms=request.deadline.left_ms(),
        issued_at_ms=request.issued_at_ms,
        homes_version=_homes_version(request, state),
        method=request.method,
        path=request.path,
        headers=[Header(name, value) for name, value in request.headers],
        body=request.body,
    )


def _homes_version(request, state):
    if request.idempotency_key is None:
        return NO_HOMES_VERSION
    version, _ = state.homes_at(request.service.name, request.issued_at_ms)
    return version
