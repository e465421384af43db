"""Checks of a request that need only its head."""

from siskinthread.callers._header_names import SINGLE_HEADERS
from siskinthread.callers._requests import draft_request, identify
from siskinthread.callers._routes import (
    find_route,
    HealthRoute,
    MetricsRoute,
    ModelsRoute,
    ReadyRoute,
)
from siskinthread.http_server import bad_request, Refusal, refuse
from siskinthread.outcomes import Reason

SYSTEM_ROUTES = (HealthRoute, ReadyRoute, MetricsRoute)
RETRY_FULL_S = 1.0


class AcceptedHead:
    """A head that passed all checks, and its route.

    Parameters
    ----------
    route : object
        Route of the request.
    account : siskinthread.configuration.Account or None
        Client account; set for a list of models only.
    draft : Draft or None
        Draft of a request to a target.
    """

    __slots__ = ("account", "draft", "route")

    def __init__(self, route, account=None, draft=None):
        self.route = route
        self.account = account
        self.draft = draft


def accept_head(head, context, is_surplus):
    """Return the `AcceptedHead` of a `RequestHead`, or a `Refusal`.

    Parameters
    ----------
    head : RequestHead
        The head.
    context : CallerContext
        Context shared by all connections.
    is_surplus : bool
        Whether the connection exceeds the limit on connections.
    """
    route = find_route(head.method, head.target)
    if isinstance(route, Refusal):
        return route
    if isinstance(route, SYSTEM_ROUTES):
        return AcceptedHead(route)
    if is_surplus:
        return refuse(
            Reason.OVERLOADED,
            "This host has too many connections.",
            closes=True,
            retry_after_s=RETRY_FULL_S,
        )
    refusal = head.repeated_header(SINGLE_HEADERS) or _unsupported(
        head, context.settings
    )
    if refusal is not None:
        return refusal
    if isinstance(route, ModelsRoute):
        account = identify(head, context)
        if isinstance(account, Refusal):
            return account
        return AcceptedHead(route, account=account)
    draft = draft_request(head, route, context)
    if isinstance(draft, Refusal):
        return draft
    return AcceptedHead(route, draft=draft)


def _unsupported(head, settings):
    if head.http_version != "1.1":
        # HTTP/1.0 ends a body of unknown length by closing the connection, so a broken
        # answer could not be told from a complete one.
        return bad_request("Requests need HTTP/1.1.", closes=True)
    length = head.content_length()
    if length is not None and length > settings.body_size_limit_bytes:
        return bad_request("The body is too large.", status=413, closes=True)
    return None
