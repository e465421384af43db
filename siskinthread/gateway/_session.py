"""Session of one caller connection, whose requests are forwarded to targets."""

import contextlib

from siskinthread.errors import CallerLeftError, TargetError
from siskinthread.gateway._forwarding import error_body, Forwarding
from siskinthread.gateway._reply import Reply
from siskinthread.gateway._request import GatewayRequest
from siskinthread.http_server import DrainEndedError, Refusal, refuse, Session
from siskinthread.observability import part_logger
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.timing import Deadline

_logger = part_logger("gateway")

# States that the request has not run, as the host that answers isn't the one named.
STATUS_MISDIRECTED = 421


class Accepted:
    """Route and client account of a request that passed the checks of its head.

    Parameters
    ----------
    table : RouteTable
        The routes in force.
    route : Route
        The matching route.
    account : Account or None
        Client account of the API key; None if no key is required.
    """

    __slots__ = ("account", "route", "table")

    def __init__(self, table, route, account):
        self.table = table
        self.route = route
        self.account = account


class GatewaySession(Session):
    """Serves one connection until it ends.

    Parameters
    ----------
    connection : siskinthread.http_server.CallerConnection
        The connection.
    context : GatewayContext
        State that all connections share.
    is_surplus : bool
        Whether the connection exceeds the limit; its request is refused and it is
        closed.
    """

    __slots__ = ("_facts", "_is_surplus", "_received_at_s")

    def __init__(self, connection, context, is_surplus):
        super().__init__(connection, context)
        self._is_surplus = is_surplus
        self._facts = None
        self._received_at_s = None

    async def answer(self, head):
        """Answer one request; return whether the connection may be reused."""
        context = self.context
        self._received_at_s = context.parts.clock.monotonic_s()
        self._facts = context.parts.wire.read_request(head)
        if self._is_surplus:
            message = "This host has too many connections."
            wait_s = context.settings.retry_after_s
            refusal = refuse(Reason.OVERLOADED, message, retry_after_s=wait_s)
            return await self.refuse(refusal, in_transfer=True)
        if self._facts.is_for_target:
            message = "This host is an entry host and not the target named."
            refusal = refuse(Reason.BAD_REQUEST, message, STATUS_MISDIRECTED)
            return await self.refuse(refusal, in_transfer=True)
        receiving = context.bodies.body()
        try:
            body = await self.connection.read_body(receiving)
            if isinstance(body, Refusal):
                if body.end.reason is Reason.OVERLOADED:
                    await context.parts.sends.end_slowest()
                return await self.refuse(body, in_transfer=True)
            accepted = self._accept(head)
            if isinstance(accepted, Refusal):
                return await self.refuse(accepted)
            return await self._forward(head, body, accepted)
        finally:
            receiving.release()

    async def refuse(self, refusal, in_transfer=False):
        """Write a refusal; return whether the connection may be reused."""
        request_id = "" if self.head is None else self._facts.request_id
        headers = self.context.parts.wire.own_headers(
            request_id, refusal.end.retry_after_s
        )
        closes = refusal.closes or in_transfer or self.context.draining
        closes = closes or self._has_not_waited(refusal.end)
        if closes:
            headers.append(("connection", "close"))
        body = error_body(refusal.end)
        headers.append(("content-length", str(len(body))))
        await self.connection.write_whole(refusal.status, headers, body)
        self._log(None, refusal.status, refusal.end, [])
        return not closes

    def _accept(self, head):
        context = self.context
        table = context.view.table
        wait_s = context.settings.retry_after_s
        if table is None:
            message = "No configuration is known yet."
            return refuse(Reason.NOT_READY, message, retry_after_s=wait_s)
        path = head.target.partition("?")[0]
        route = table.find_route(head.value("host") or "", path)
        if route is None:
            return self._deny(Reason.NO_SUCH_SERVICE, "There is nothing at this path.")
        account = None
        if table.accounts_by_key is not None and not route.is_public:
            account = table.accounts_by_key.get(self._facts.api_key)
            if account is None:
                return self._deny(Reason.UNAUTHENTICATED, "The key is not known.")
        return Accepted(table, route, account)

    def _deny(self, reason, message):
        """Return the `Refusal` of a request that the configuration does not allow.

        While the configuration may be out of date, the caller is asked to retry: a
        newer version may allow the request, and a definite refusal would end its
        retries.
        """
        if self.context.is_table_fresh():
            return refuse(reason, message)
        message = "This host can't tell whether its configuration is up to date."
        wait_s = self.context.settings.retry_after_s
        return refuse(Reason.NOT_READY, message, retry_after_s=wait_s)

    async def _forward(self, head, body, accepted):
        parts = self.context.parts
        route = accepted.route
        wait_s = route.wait_limit_s
        if self._facts.wait_limit_s is not None:
            wait_s = min(wait_s, self._facts.wait_limit_s)
        deadline = Deadline(parts.clock, self._received_at_s + wait_s)
        refusal = self.context.drain.refusal(deadline, parts.forecast.expected_s(route))
        if refusal is not None:
            return await self.refuse(refusal)
        request = GatewayRequest(
            head,
            body,
            self._facts,
            route,
            route.choose_service(parts.random.random()),
            accepted.account,
            accepted.table.version,
            deadline,
        )
        reply = Reply(self.connection, parts.wire, self.context, request, parts.clock)
        forwarding = Forwarding(parts, request, reply, self.context.drain)
        end = End(Outcome.UNKNOWN, Reason.CANCELLED, "The caller left.")
        try:
            end = await forwarding.run()
        except CallerLeftError as error:
            end = End(Outcome.UNKNOWN, Reason.CANCELLED, str(error))
        except DrainEndedError:
            with contextlib.suppress(CallerLeftError):
                end = await forwarding.end_at_stop()
        except TargetError as error:
            # The answer can't be passed on as valid HTTP, so the connection is closed.
            end = End(Outcome.FAILED_RAN, Reason.TARGET_FAILED, str(error))
        finally:
            if end.reason is Reason.CANCELLED and forwarding.is_unsent():
                message = "The caller left before it was sent to a target."
                end = End(Outcome.REFUSED_NOT_RUN, Reason.CANCELLED, message)
            self._log(request, reply.status, end, forwarding.describe(), reply)
        return reply.has_ended and not self._has_not_waited(end)

    def _has_not_waited(self, end):
        """Return whether a refused caller has sent more before the time to retry."""
        return end.retry_after_s is not None and self.connection.has_unread_input()

    def _log(self, request, status, end, attempts, reply=None):
        now_s = self.context.parts.clock.monotonic_s()
        took_s = 0.0
        if self._received_at_s is not None:
            took_s = now_s - self._received_at_s
        table = self.context.view.table
        fields = {
            "id": self._facts.request_id if self._facts is not None else None,
            "route": None if request is None else request.route.name,
            "service": None if request is None else request.service_name,
            "account": None,
            "version": table.version if table is not None else None,
            "configuration_age_s": self.context.table_age_s(),
            "status": status,
            "outcome": end.outcome.label,
            "reason": str(end.reason),
            "explanation": end.message,
            "took_s": round(took_s, 3),
            "attempts": attempts,
        }
        if self.context.drain.ends is not None:
            fields["drain_left_s"] = round(self.context.drain.ends.left_s(), 3)
        if reply is not None and reply.first_written_at_s is not None:
            first_s = reply.first_written_at_s - self._received_at_s
            fields["first_bytes_s"] = round(first_s, 3)
            fields["longest_pause_s"] = round(reply.longest_pause_s, 3)
        if request is not None:
            fields["priority"] = request.priority
            fields["fingerprint"] = request.fingerprint
            if request.facts.shared_parts:
                fields["shared_parts"] = request.logged_parts()
            fields["version"] = request.table_version
            if request.account is not None:
                fields["account"] = request.account.name
        _logger.event("request ended", **fields)
        self.context.parts.measures.request_ended(
            fields["route"] or "none", status, end.outcome, took_s
        )
