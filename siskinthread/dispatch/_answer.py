"""The attempts of one request and the events of its answer."""

from collections import deque
from functools import singledispatch

import curio

from siskinthread.dispatch._attempt import Attempt
from siskinthread.dispatch._choice import TargetChoice
from siskinthread.dispatch._merging import merge_ends
from siskinthread.dispatch._retrying import (
    caller_retry_after_s,
    is_authoritative,
    is_repeatable,
    Retry,
    retry_after_end,
    to_unknown_end,
)
from siskinthread.errors import InvariantError
from siskinthread.observability import part_logger
from siskinthread.outcomes import End, Head, Outcome, Part, Reason

_logger = part_logger("dispatch")


class Answer:
    """The answer to one request, from one or more attempts.

    Parameters
    ----------
    dispatcher : Dispatcher
        Owner of the router, the links, the settings and the metrics.
    request : CallerRequest
        The request.

    Notes
    -----
    A single task reads the events.  For a request that may be repeated, the head is
    held back until the first byte of the body arrives: if the target fails in between,
    another target can still answer without the caller noticing.
    """

    __slots__ = (
        "_attempt",
        "_attempt_count",
        "_begun_at_s",
        "_cancelled",
        "_choice",
        "_dispatcher",
        "_earlier_end",
        "_ended",
        "_held_head",
        "_pending",
        "_request",
        "_has_relayed",
        "_streaming_exchange",
        "_is_authoritative",
    )

    def __init__(self, dispatcher, request):
        self._dispatcher = dispatcher
        self._request = request
        self._begun_at_s = dispatcher.clock.monotonic_s()
        self._choice = TargetChoice(dispatcher, request)
        self._attempt = None
        self._attempt_count = 0
        self._earlier_end = None
        self._held_head = None
        self._pending = deque()
        self._has_relayed = False
        self._streaming_exchange = None
        self._is_authoritative = False
        self._cancelled = False
        self._ended = False
        dispatcher.measures.began()

    async def next_event(self):
        """Return the next event; `End` is the last.

        Returns
        -------
        Head, Part or End
            The call acknowledges that the bytes returned before were written to the
            caller.

        Raises
        ------
        InvariantError
            If it is called after `End` was returned.
        """
        while not self._pending:
            if self._streaming_exchange is not None:
                # Most events are parts of a running stream.  Return them directly: each
                # further function call costs processor time per token.
                event = await self._streaming_exchange.next_event()
                if type(event) is Part:
                    return event
                await self._handle_event(event)
            elif self._ended:
                raise InvariantError(
                    "next_event was called after the end of the answer"
                )
            else:
                await self._advance()
        return self._pending.popleft()

    async def cancel(self):
        """Cancel the answer because its caller left; does nothing after the end."""
        if self._ended:
            return
        self._cancelled = True
        attempt = self._attempt
        if attempt is None:
            self._finish(self._end_of_cancelled())
            return
        self._end_attempt(End(Outcome.UNKNOWN, Reason.CANCELLED, "The caller left."))
        self._finish(self._earlier_end)
        await attempt.cancel()

    async def _advance(self):
        if self._attempt is None and not await self._begin_attempt():
            return
        if is_repeatable(self._request) and not self._has_relayed:
            event = await self._attempt.next_event_unless_unreachable()
        else:
            event = await self._attempt.exchange.next_event()
        await self._handle_event(event)

    async def _handle_event(self, event):
        if self._cancelled:
            return
        if type(event) is not End:
            _handle_response_event(event, self)
            return
        self._end_attempt(event)
        if not await self._prepare_retry(event) and not self._cancelled:
            self._finish(self._earlier_end)

    async def _begin_attempt(self):
        chosen = await self._choice.choose()
        if self._cancelled:
            return False
        if isinstance(chosen, End):
            self._finish(self._earlier_end or chosen)
            return False
        self._attempt_count += 1
        attempt = Attempt(self._dispatcher, self._request, chosen.host)
        self._attempt = attempt
        await attempt.start(chosen.state)
        if self._cancelled:
            # `cancel` ran before the attempt had an exchange that it could cancel.
            await attempt.cancel()
            return False
        return True

    def _end_of_cancelled(self):
        message = "The caller left before a target got the request."
        refusal = End(Outcome.REFUSED_NOT_RUN, Reason.CANCELLED, message)
        return self._earlier_end or refusal

    def _end_attempt(self, end):
        attempt = self._attempt
        self._attempt = None
        self._streaming_exchange = None
        attempt.finish(end.outcome)
        self._dispatcher.measures.attempt_ended(end)
        if end.outcome is Outcome.ANSWERED:
            self._release_held_head()
        else:
            self._held_head = None
            self._log_attempt(attempt, end)
        self._is_authoritative = is_authoritative(end, attempt.written)
        self._earlier_end = merge_ends(self._earlier_end, end)

    async def _prepare_retry(self, end):
        settings = self._dispatcher.settings
        retry = retry_after_end(self._request, end, self._has_relayed)
        if retry is Retry.NO or self._attempt_count >= settings.attempt_limit:
            return False
        wait_s = self._dispatcher.back_off_s(retry, self._attempt_count)
        if wait_s >= self._request.deadline.left_s():
            return False
        if not self._dispatcher.retry_budget.try_spend():
            return False
        self._dispatcher.measures.retried(end)
        await curio.sleep(wait_s)
        return True

    def _finish(self, end):
        self._ended = True
        if end.outcome is not Outcome.ANSWERED:
            end = self._with_retry_after(self._unknown_unless_authoritative(end))
        self._pending.append(end)
        self._dispatcher.measures.ended(end)
        _logger.info(
            "Request %s ended %s, reason %s, attempts %d, took %.3f s.",
            self._request.request_id,
            end.outcome.label,
            end.reason,
            self._attempt_count,
            self._dispatcher.clock.monotonic_s() - self._begun_at_s,
        )

    def _unknown_unless_authoritative(self, end):
        keyed = self._request.idempotency_key is not None
        if (
            not keyed
            or end.outcome is not Outcome.REFUSED_NOT_RUN
            or self._is_authoritative
        ):
            return end
        return to_unknown_end(end)

    def _with_retry_after(self, end):
        default_s = self._dispatcher.settings.retry_after_s
        wait_s = caller_retry_after_s(self._request, end, default_s)
        return End(end.outcome, end.reason, end.message, end.length_bytes, wait_s)

    def _log_attempt(self, attempt, end):
        _logger.info(
            "Attempt %d of request %s on %s ended %s, reason %s.",
            self._attempt_count,
            self._request.request_id,
            attempt.host,
            end.outcome.label,
            end.reason,
        )

    def _release_held_head(self):
        if self._held_head is not None:
            self._pending.append(self._held_head)
            self._held_head = None
            self._has_relayed = True


@singledispatch
def _handle_response_event(event, answer):
    """Queue an event of an attempt for the caller."""
    raise InvariantError(f"unexpected event {event!r}")


@_handle_response_event.register
def _(event: Head, answer):
    answer._held_head = event
    if not is_repeatable(answer._request):
        answer._release_held_head()


@_handle_response_event.register
def _(event: Part, answer):
    answer._release_held_head()
    answer._pending.append(event)
    answer._has_relayed = True
    answer._streaming_exchange = answer._attempt.exchange
    answer._attempt.note_first_byte()
    now_s = answer._dispatcher.clock.monotonic_s()
    answer._dispatcher.measures.first_byte(now_s - answer._begun_at_s)
