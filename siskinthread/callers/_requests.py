"""Build a `CallerRequest` from the head and body of an HTTP request."""

import functools

from siskinthread.callers._chat import read_chat_body
from siskinthread.callers._header_names import (
    AUTHORIZATION,
    forwarded_headers,
    IDEMPOTENCY_KEY,
    WITHHELD_HEADERS,
)
from siskinthread.callers._routes import ChatRoute, ServiceRoute
from siskinthread.callers._time_headers import keyed_times, read_stated_times
from siskinthread.dispatch import CallerRequest
from siskinthread.http_server import Refusal, refuse, status_of
from siskinthread.outcomes import End, Outcome, Reason

BEARER_PREFIX = "bearer "
PLAIN_KIND = "plain"
RETRY_UNREADY_S = 1.0
# Kept for unknown outcomes too: they name an error that the caller has to correct.
ACTIONABLE_STATUS = (400, 401, 404, 408, 413)


class Draft:
    """A request whose head was accepted and whose body is not read yet.

    Parameters
    ----------
    head : RequestHead
        Request line and headers.
    route : object
        Route of the request.
    account : siskinthread.configuration.Account
        Client account of the caller.
    times : StatedTimes
        Deadline and idempotency.
    state : siskinthread.configuration.State
        Configuration used for the whole request.
    """

    __slots__ = ("account", "head", "route", "state", "times")

    def __init__(self, head, route, account, times, state):
        self.head = head
        self.route = route
        self.account = account
        self.times = times
        self.state = state


class ServiceCall:
    """The service that a request calls, and the contents of a chat body.

    Parameters
    ----------
    service : siskinthread.configuration.Service
        The service.
    path : str
        Path that is sent to the service.
    idempotent : bool
        Whether the service treats the request as idempotent by default.
    chat : ChatBody or None
        Contents of the body of a chat completion.
    """

    __slots__ = ("chat", "idempotent", "path", "service")

    def __init__(self, service, path, idempotent, chat=None):
        self.service = service
        self.path = path
        self.idempotent = idempotent
        self.chat = chat


class BuiltRequest:
    """A request ready for admission.

    Parameters
    ----------
    request : siskinthread.dispatch.CallerRequest
        The request.
    streams : bool
        Whether the caller asked for a stream of events.
    """

    __slots__ = ("request", "streams")

    def __init__(self, request, streams):
        self.request = request
        self.streams = streams


def identify(head, context):
    """Return the `Account` that a head authenticates, or a `Refusal`."""
    state = context.view.state
    if state is None:
        return refuse(
            Reason.NOT_READY,
            "This host has no configuration yet.",
            retry_after_s=RETRY_UNREADY_S,
        )
    authorization = head.value(AUTHORIZATION) or ""
    account = None
    if authorization[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
        account = state.account_for_key(authorization[len(BEARER_PREFIX) :].strip())
    if account is None:
        return refuse(
            Reason.UNAUTHENTICATED,
            "A bearer key of a client account is needed.",
            headers=[("www-authenticate", "Bearer")],
        )
    return account


def draft_request(head, route, context):
    """Return the `Draft` of a request from its head, or a `Refusal`."""
    account = identify(head, context)
    if isinstance(account, Refusal):
        return account
    times = read_stated_times(head, context.settings, context.clock)
    if isinstance(times, Refusal):
        return times
    draft = Draft(head, route, account, times, context.view.state)
    if isinstance(route, ServiceRoute):
        # Refuse before the body is read, so that a large body is not sent in vain.
        call = find_service_call(route, draft, b"", context)
        if isinstance(call, Refusal):
            return call
    return draft


def build_request(draft, body, context):
    """Return the `BuiltRequest` of a draft and its body, or a `Refusal`."""
    call = find_service_call(draft.route, draft, body, context)
    if isinstance(call, Refusal):
        return call
    service = call.service
    priority = draft.state.priority(draft.account.name, service.name)
    times = draft.times
    key = times.idempotency_key
    deadline = times.deadline
    issued_at_ms = None
    request_id = None
    if key is None:
        request_id = context.request_ids()
    else:
        keyed = keyed_times(times, service, context.settings, context.clock)
        if isinstance(keyed, Refusal):
            return keyed
        deadline = keyed.deadline
        issued_at_ms = keyed.issued_at_ms
        request_id = f"key/{service.name}/{draft.account.name}/{key}"
    request = CallerRequest(
        request_id=request_id,
        account=draft.account,
        service=service,
        method=draft.head.method,
        path=call.path,
        headers=forwarded_headers(draft.head.headers, WITHHELD_HEADERS),
        body=body,
        idempotent=_is_idempotent(times, call),
        deadline=deadline,
        priority=priority,
        idempotency_key=key,
        issued_at_ms=issued_at_ms,
        token_estimate=call.chat.token_estimate if call.chat else 0,
        prefix_key=call.chat.prefix_key if call.chat else None,
    )
    return BuiltRequest(request, bool(call.chat and call.chat.streams))


@functools.singledispatch
def find_service_call(route, draft, body, context):
    """Return the `ServiceCall` of a route, or a `Refusal`."""
    raise TypeError(f"no service call is defined for {route!r}")


@find_service_call.register
def _(route: ChatRoute, draft, body, context):
    chat = read_chat_body(body, context.settings)
    if isinstance(chat, Refusal):
        return chat
    service = draft.state.service_for_model(chat.model)
    if not _may_use(draft, service):
        return refuse(
            Reason.NO_SUCH_SERVICE,
            f"There is no model {chat.model!r} that this account may use.",
        )
    return ServiceCall(service, draft.head.target, True, chat)


@find_service_call.register
def _(route: ServiceRoute, draft, body, context):
    service = draft.state.services.get(route.service_name)
    # Engines are called by model only; on this route token limits would not apply.
    if service is not None and service.kind != PLAIN_KIND:
        service = None
    if not _may_use(draft, service):
        return refuse(
            Reason.NO_SUCH_SERVICE,
            f"There is no plain service {route.service_name!r} that this account may "
            "use.",
        )
    idempotent = draft.head.method in service.idempotent_methods
    return ServiceCall(service, route.path, idempotent)


def deadline_refusal(request):
    """Return the `Refusal` of a request whose deadline has passed, or None."""
    if not request.deadline.passed():
        return None
    return refuse(
        Reason.DEADLINE_PASSED,
        "The deadline had passed before the request could be sent on.",
    )


def refusal_for_caller(refusal, head, in_transfer=False):
    """Return a refusal that states only what this entry host can know.

    Parameters
    ----------
    refusal : Refusal
        Refusal made by this host.
    head : RequestHead or None
        Head of the request, None if it was unreadable.
    in_transfer : bool
        Whether the body was damaged or incomplete in transfer, which does not hold for
        other tries of the request.

    Returns
    -------
    Refusal
        The same refusal, or one with outcome ``UNKNOWN`` for a request with an
        idempotency key.

    Notes
    -----
    An earlier try with the same key may have run through another entry host and its
    answer been lost.  If this host refuses the retry without asking the key's home, for
    example because its configuration lags, and reports "not run", the caller may issue
    the request again by other means, and it runs twice.  A malformed request is
    malformed on every try, so its refusal stays as it is.
    """
    end = refusal.end
    if head is None or head.value(IDEMPOTENCY_KEY) is None:
        return refusal
    if end.outcome is not Outcome.REFUSED_NOT_RUN:
        return refusal
    if end.reason is Reason.BAD_REQUEST and not in_transfer:
        return refusal
    end = End(
        Outcome.UNKNOWN,
        end.reason,
        message=f"{end.message} This try was not run; whether an earlier one with the "
        "same idempotency key ran is not known here.",
        retry_after_s=end.retry_after_s,
    )
    status = refusal.status if refusal.status in ACTIONABLE_STATUS else status_of(end)
    return Refusal(end, status, refusal.headers, refusal.closes)


def _may_use(draft, service):
    if service is None:
        return False
    return draft.state.priority(draft.account.name, service.name) is not None


def _is_idempotent(times, call):
    if times.idempotency_key is not None:
        return False
    if times.idempotent is not None:
        return times.idempotent
    return call.idempotent
