"""From a caller's head and body to a `CallerRequest`."""

import functools

from siskinthread.callers._chat import read_chat_body
from siskinthread.callers._header_names import (
    AUTHORIZATION,
    foreign_headers,
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
# They say what the caller has to mend, whatever the outcome of earlier tries.
TELLING_STATUS = (400, 401, 404, 408, 413)


class Draft:
    """A request whose head is accepted and whose body is not yet read.

    Parameters
    ----------
    head : RequestHead
        Request line and headers.
    route : object
        What is asked.
    account : siskinthread.configuration.Account
        Who asks.
    times : StatedTimes
        Deadline and idempotency.
    state : siskinthread.configuration.State
        The configuration that the whole request goes by.
    """

    __slots__ = ("account", "head", "route", "state", "times")

    def __init__(self, head, route, account, times, state):
        self.head = head
        self.route = route
        self.account = account
        self.times = times
        self.state = state


class Target:
    """The service that a request asks, and what its body says.

    Parameters
    ----------
    service : siskinthread.configuration.Service
        The service.
    path : str
        Path as the service shall see it.
    idempotent : bool
        Default of the service.
    chat : ChatBody or None
        What the body of a chat completion says.
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
        Whether its caller asked for a stream of events.
    """

    __slots__ = ("request", "streams")

    def __init__(self, request, streams):
        self.request = request
        self.streams = streams


def identify(head, context):
    """Return the `Account` that a head identifies, or a `Refusal`."""
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
        # Known before the body, so that a large body need not be sent in vain.
        target = find_target(route, draft, b"", context)
        if isinstance(target, Refusal):
            return target
    return draft


def build_request(draft, body, context):
    """Return the `BuiltRequest` of a draft and its body, or a `Refusal`."""
    target = find_target(draft.route, draft, body, context)
    if isinstance(target, Refusal):
        return target
    service = target.service
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
        path=target.path,
        headers=foreign_headers(draft.head.headers, WITHHELD_HEADERS),
        body=body,
        idempotent=_is_idempotent(times, target),
        deadline=deadline,
        priority=priority,
        idempotency_key=key,
        issued_at_ms=issued_at_ms,
        token_estimate=target.chat.token_estimate if target.chat else 0,
        prefix_key=target.chat.prefix_key if target.chat else None,
    )
    return BuiltRequest(request, bool(target.chat and target.chat.streams))


@functools.singledispatch
def find_target(route, draft, body, context):
    """Return the `Target` of a route, or a `Refusal`."""
    raise TypeError(f"no target for {route!r}")


@find_target.register
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
    return Target(service, draft.head.target, True, chat)


@find_target.register
def _(route: ServiceRoute, draft, body, context):
    service = draft.state.services.get(route.service_name)
    # An engine is asked by model only; here its limits in tokens would not count.
    if service is not None and service.kind != PLAIN_KIND:
        service = None
    if not _may_use(draft, service):
        return refuse(
            Reason.NO_SUCH_SERVICE,
            f"There is no plain service {route.service_name!r} that this account may "
            "use.",
        )
    idempotent = draft.head.method in service.idempotent_methods
    return Target(service, route.path, idempotent)


def deadline_refusal(request):
    """Return the `Refusal` of a request whose deadline has passed, or None."""
    if not request.deadline.passed():
        return None
    return refuse(
        Reason.DEADLINE_PASSED,
        "The deadline had passed before the request could be sent on.",
    )


def true_refusal(refusal, head, in_transfer=False):
    """Return a refusal that says no more than this entry host can know.

    Parameters
    ----------
    refusal : Refusal
        Why the request was turned away here.
    head : RequestHead or None
        Its head, if it could be read.
    in_transfer : bool
        Whether the body was spoilt on its way, which another try's need not have been.

    Returns
    -------
    Refusal
        The same, or for a request with an idempotency key one whose outcome is unknown.

    Notes
    -----
    Symptom without this: an operator sends an alert by hand because its retry was
    "not run", and the alert goes out twice.  The first try, through another entry host,
    had run and its answer was lost; this host refused the retry, say because its
    configuration lags, without the key's home having been asked.  A request that is
    malformed is malformed on every try, so that its refusal is true.
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
    status = refusal.status if refusal.status in TELLING_STATUS else status_of(end)
    return Refusal(end, status, refusal.headers, refusal.closes)


def _may_use(draft, service):
    if service is None:
        return False
    return draft.state.priority(draft.account.name, service.name) is not None


def _is_idempotent(times, target):
    if times.idempotency_key is not None:
        return False
    if times.idempotent is not None:
        return times.idempotent
    return target.idempotent
