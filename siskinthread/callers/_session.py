"""Serve the requests of a connection in sequence."""

import functools
import json

import curio

from siskinthread.callers._acceptance import accept_head
from siskinthread.callers._relay import Relay
from siskinthread.callers._requests import (
    build_request,
    deadline_refusal,
    refusal_for_caller,
)
from siskinthread.callers._responses import (
    JSON_TYPE,
    METRICS_TYPE,
    TEXT_TYPE,
    write_error_response,
    write_local_response,
)
from siskinthread.callers._routes import (
    ChatRoute,
    HealthRoute,
    MetricsRoute,
    ModelsRoute,
    ReadyRoute,
    ServiceRoute,
)
from siskinthread.http_server import DrainEndedError, Refusal, Session, status_of
from siskinthread.outcomes import End


class CallerSession(Session):
    """Serves one connection until it ends.

    Parameters
    ----------
    connection : CallerConnection
        The connection.
    context : CallerContext
        Context shared by all connections.
    is_surplus : bool
        Whether the connection exceeds the limit; it is closed after one response, which
        is a refusal unless health, readiness or metrics are requested.
    """

    __slots__ = ("_is_surplus",)

    def __init__(self, connection, context, is_surplus=False):
        super().__init__(connection, context)
        self._is_surplus = is_surplus

    async def answer(self, head):
        """Answer one request; return whether the connection stays usable."""
        accepted = accept_head(head, self.context, self._is_surplus)
        if isinstance(accepted, Refusal) and head.has_body():
            # The body is not read, so no later request on the connection can be.
            accepted.closes = True
            return await self.refuse(accepted)
        receiving = self.context.bodies.body()
        try:
            body = await self.connection.read_body(receiving)
            if isinstance(body, Refusal):
                return await self.refuse(body, in_transfer=True)
            if isinstance(accepted, Refusal):
                return await self.refuse(accepted)
            return await respond(accepted.route, self, accepted, body)
        finally:
            receiving.release()

    async def write_text(self, status, content_type, body):
        """Write a response that the entry itself produced; return True."""
        await write_local_response(
            self.connection, status, [content_type], body, self._closes_after_response()
        )
        return True

    async def write_models(self, account):
        """Write the list of the models that an account may use."""
        state = self.context.view.state
        models = [
            {"id": model, "object": "model", "owned_by": service.name}
            for service in state.services.values()
            if state.priority(account.name, service.name) is not None
            for model in service.models
        ]
        document = {
            "object": "list",
            "data": sorted(models, key=lambda model: model["id"]),
        }
        return await self.write_text(200, JSON_TYPE, json.dumps(document).encode())

    async def dispatch(self, draft, body):
        """Run a request and relay its answer; return whether to keep the connection."""
        built = build_request(draft, body, self.context)
        if isinstance(built, Refusal):
            return await self.refuse(built)
        request = built.request
        if self.connection.caller.caller_left:
            return False
        drain = self.context.drain
        refusal = deadline_refusal(request) or drain.refusal(request.deadline)
        if refusal is not None:
            return await self.refuse(refusal, request_id=request.request_id)
        admitted = self.context.admission.admit(request)
        if isinstance(admitted, End):
            refusal = Refusal(admitted, status_of(admitted))
            return await self.refuse(refusal, request_id=request.request_id)
        tokens = 0
        try:
            # A cancellation here would leave a running request that nothing can cancel.
            async with curio.disable_cancellation():
                answer = await self.context.dispatcher.begin(request)
            relay = Relay(self.connection, built, answer, self.context)
            try:
                await relay.run()
            except DrainEndedError:
                await relay.end_at_stop()
            finally:
                tokens = relay.tokens
                async with curio.disable_cancellation():
                    await relay.cancel()
        finally:
            admitted.finish(tokens)
        self._count(relay.end)
        return not relay.broken

    async def refuse(self, refusal, in_transfer=False, request_id=None):
        """Write a refusal; return whether the connection stays usable."""
        reported = refusal_for_caller(refusal, self.head, in_transfer)
        self._count(reported.end)
        await write_error_response(
            self.connection,
            reported.end,
            request_id,
            reported.status,
            reported.headers,
            closes=reported.closes or self._closes_after_response(),
        )
        return not reported.closes

    def _closes_after_response(self):
        return self.context.closing or self._is_surplus

    def _count(self, end):
        self.context.answered_count.labels(end.outcome.label, str(end.reason)).inc()


@functools.singledispatch
async def respond(route, session, accepted, body):
    """Answer an accepted request; return whether the connection stays usable."""
    raise TypeError(f"no response is defined for {route!r}")


@respond.register
async def _(route: HealthRoute, session, accepted, body):
    return await session.write_text(200, TEXT_TYPE, b"alive\n")


@respond.register
async def _(route: ReadyRoute, session, accepted, body):
    reason = session.context.unready_reason()
    if reason is None:
        return await session.write_text(200, TEXT_TYPE, b"ready\n")
    return await session.write_text(503, TEXT_TYPE, f"not ready: {reason}\n".encode())


@respond.register
async def _(route: MetricsRoute, session, accepted, body):
    text = session.context.metrics.render()
    return await session.write_text(200, METRICS_TYPE, text)


@respond.register
async def _(route: ModelsRoute, session, accepted, body):
    return await session.write_models(accepted.account)


@respond.register(ChatRoute)
@respond.register(ServiceRoute)
async def _(route, session, accepted, body):
    return await session.dispatch(accepted.draft, body)
