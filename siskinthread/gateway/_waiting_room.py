"""Queue of requests that wait at this host until a target can take them.

A waiting request occupies no slot of a target and uses no attempt.  It is sent once, or
refused as not run if its wait times out, its service loses all targets, or this host
drains.  When the caller disconnects, its task is cancelled and the wait ends.
"""

import curio

from siskinthread.gateway._pending_request import PendingRequest, WaitingMeasures
from siskinthread.gateway._release_pace import ReleasePace
from siskinthread.gateway._service_outages import ServiceOutages
from siskinthread.gateway._table import RequestKind
from siskinthread.gateway._target_refusal import TargetRefusal
from siskinthread.load_control import (
    BindingCause,
    NoWait,
    RecentPriorities,
    RouteDurations,
    Waiter,
    WaitFacts,
    WaitPolicy,
    WaitQueue,
)
from siskinthread.observability import part_logger
from siskinthread.outcomes import End, Reason
from siskinthread.timing import Deadline

_logger = part_logger("gateway")

SHORTAGE_CAUSES = (BindingCause.FULL, BindingCause.BOOKED, BindingCause.QUEUED)
SERVICE_WIDE_CAUSES = (BindingCause.OUTAGE, BindingCause.FULL, BindingCause.BOOKED)
STREAM_KINDS = (RequestKind.STREAM_ONCE, RequestKind.STREAM_RESUMABLE)


class WaitingRoom:
    """Queues requests while no target of their service can take them.

    Parameters
    ----------
    parts : GatewayParts
        Target selection, target list, loads and clock.
    metrics : siskinthread.observability.Metrics
        The registry.

    Attributes
    ----------
    outages : object or None
        Reports outages of services with groups: ``service_outage(service_name)``
        returns an object with ``began_at_s`` or None, ``listen(callback)`` registers a
        callback that is called with the name of each group that accepts requests
        again.  With None, outages are detected by failed requests only.
    request_times : siskinthread.load_control.RouteDurations
        Durations of requests.
    returns : ReturnTimes or None
        Decides whether a new request leaves enough slots for callers that retry.
    """

    __slots__ = (
        "_choice",
        "_clock",
        "_displaced",
        "_is_open",
        "_measures",
        "_next_try",
        "_not_empty",
        "_outages",
        "_pace",
        "_priorities",
        "_queue",
        "_rules",
        "_pending",
        "_settings",
        "_targets",
        "request_times",
        "returns",
    )

    def __init__(self, parts, metrics):
        self._settings = parts.settings.waiting
        self._clock = parts.clock
        self._choice = parts.choice
        self._targets = parts.targets
        self._outages = ServiceOutages(parts)
        self._pace = ReleasePace(parts.settings, parts.loads, parts.clock)
        self._priorities = RecentPriorities(self._settings, parts.clock)
        self._rules = WaitPolicy(self._settings, parts.clock)
        late_gives_way = parts.settings.load_control.late_gives_way
        self._queue = WaitQueue(self._settings, late_gives_way)
        self._pending = {}
        # Requests displaced by more urgent ones, whose tasks are not woken yet.
        self._displaced = []
        self._is_open = True
        # Deadline of the next try, by service without free slots.
        self._next_try = {}
        self._not_empty = curio.Event()
        self._measures = WaitingMeasures(metrics)
        self.request_times = RouteDurations(self._settings)
        self.returns = None

    @property
    def outages(self):
        """Source of outages of services with groups, or None."""
        return self._outages.reported

    @outages.setter
    def outages(self, outages):
        self._outages.reported = outages
        outages.listen(self._note_group_opened)

    def choose(self, request, tried_ids, arrived_at_s):
        """Return a target for a new request, or a refusal if there is none.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        tried_ids : set of str
            Instance ids of targets that have failed or declined the request.
        arrived_at_s : float
            Arrival of the request, monotonic seconds.

        Returns
        -------
        TargetEntry or siskinthread.outcomes.End
        """
        service_name = request.service_name
        self._priorities.note(service_name, request.priority)
        if self._queue.ordered(service_name):
            facts = self._facts(request, arrived_at_s)
            ahead_count = self._queue.ahead_count(service_name, request.priority, facts)
            if ahead_count:
                return self._refusal_behind(request, ahead_count)
        return self._choose_now(request, tried_ids)

    async def wait(self, request, tried_ids, arrived_at_s, refusal):
        """Queue a request that has not run, if waiting can help, and await the result.

        Parameters
        ----------
        request, tried_ids, arrived_at_s
            As for `choose`.
        refusal : siskinthread.outcomes.End
            Why there is no target now.

        Returns
        -------
        TargetEntry or siskinthread.outcomes.End
            A target that can take the request now, or the refusal.
        """
        pending = self.join(request, tried_ids, arrived_at_s, refusal)
        if pending is None:
            return refusal
        began_at_s = self._clock.monotonic_s()
        self._measures.depth.observe(len(self._queue))
        end = "caller_left"
        try:
            while self._displaced:
                await self._displaced.pop().settled.set()
            await self._not_empty.set()
            await curio.ignore_after(
                pending.waiter.until.left_s(), pending.settled.wait
            )
            self.give_up(pending)
            end = "refused" if isinstance(pending.outcome, End) else "sent"
        finally:
            self._remove(pending)
            waited_s = self._clock.monotonic_s() - began_at_s
            self._measures.seconds.labels(end).observe(waited_s)
            _logger.event(
                "request has waited",
                id=request.request_id,
                service=request.service_name,
                priority=request.priority,
                cause=refusal.cause.value,
                waited_s=round(waited_s, 3),
                still_waiting=len(self._queue),
                result=end,
            )
        return pending.outcome

    def join(self, request, tried_ids, arrived_at_s, refusal):
        """Add a request to the queue if it may wait.

        Parameters
        ----------
        request, tried_ids, arrived_at_s, refusal
            As for `wait`.

        Returns
        -------
        PendingRequest or None
            None if the request does not wait.
        """
        if not self._is_open or not isinstance(refusal, TargetRefusal):
            return None
        facts = self._facts(request, arrived_at_s)
        if not self._may_wait_for(refusal.cause, request, facts):
            return None
        until = self._rules.decide(facts)
        if not isinstance(until, NoWait) and not self._has_place(request, facts):
            until = NoWait.NO_PLACE
        if isinstance(until, NoWait):
            self._log_no_wait(request, refusal, facts, until)
            return None
        waiter = Waiter(request.service_name, request.priority, facts, until)
        request.is_paced = True
        if facts.objective_s is None and request.route.objective_s is not None:
            request.is_late = facts.is_late = True
        pending = PendingRequest(waiter, request, tried_ids, refusal)
        self._queue.join(waiter)
        self._pending[waiter] = pending
        return pending

    def give_up(self, pending):
        """Refuse a request whose wait has timed out, unless it is already settled."""
        if pending.outcome is None:
            self._settle(pending, pending.refusal)

    def releases(self, service_name):
        """Settle waiting requests of a service in order of precedence.

        Parameters
        ----------
        service_name : str
            The service.

        Yields
        ------
        PendingRequest
            A request whose outcome is set.  The caller must start its attempt, which
            counts it in the load of the target, before it resumes the generator.
        """
        if not self._targets.serving(service_name):
            yield from self._refuse_all(service_name, "Its service has no target left.")
            return
        if not self._may_release(service_name):
            return
        failed_count = 0
        for waiter in self._queue.ordered(service_name):
            pending = self._pending.get(waiter)
            # The caller may have disconnected while others were released.
            if pending is None:
                continue
            # Urgent requests and returns with a booked slot are few, so they need no
            # pacing.
            facts = waiter.facts
            is_paced = facts.objective_s is None and not facts.has_promise
            if is_paced and not self._pace.allows(self._targets.serving(service_name)):
                return
            chosen = self._choose_now(pending.request, pending.tried_ids)
            if not isinstance(chosen, End):
                self._pace.note()
                yield self._settle(pending, chosen)
                if self._outages.outage(service_name) is not None:
                    return
                continue
            failed_count += 1
            pending.refusal = chosen if _cause(chosen) else pending.refusal
            # These causes apply to the whole service, so to all requests behind this
            # one.
            is_service_wide = _cause(chosen) in SERVICE_WIDE_CAUSES
            if is_service_wide or failed_count >= self._settings.tries_limit:
                self._postpone(service_name)
                return

    async def run(self):
        """Release waiting requests as soon as targets can take them."""
        try:
            while True:
                await self._not_empty.wait()
                while len(self._queue):
                    await self._run_round()
                    await curio.sleep(self._settings.round_s)
                self._not_empty.clear()
        except curio.CancelledError:
            async with curio.disable_cancellation():
                await self.close("This host ends.")
            raise

    async def close(self, message):
        """Refuse all waiting requests, and accept no further ones.

        Parameters
        ----------
        message : str
            Explanation for the callers.
        """
        self._is_open = False
        for service_name in self._queue.services():
            for pending in self._refuse_all(service_name, message):
                await pending.settled.set()

    async def _run_round(self):
        for service_name in self._queue.services():
            for pending in self.releases(service_name):
                await pending.settled.set()
                # Let its task start the attempt, which counts it in the target's load.
                await curio.sleep(0)

    def waiting_count(self, service_name):
        """Return the number of waiting requests of a service."""
        return len(self._queue.ordered(service_name))

    def note_served(self, service_name):
        """Record an answer or an event from a target of a service."""
        self._outages.note_served(service_name)

    def note_attempt_over(self, request):
        """Record that an attempt at a target has ended or was cancelled."""
        self._next_try.pop(request.service_name, None)
        self._outages.end_test(request)

    def expected_left_s(self, service_name):
        """Return the expected rest of an outage, seconds; 0 without an outage."""
        return self._outages.expected_left_s(service_name)

    def _choose_now(self, request, tried_ids):
        """Return a target for a request that is first in line, or its refusal."""
        service_name = request.service_name
        outage = None
        if self._settings.is_enabled:
            outage = self._outages.outage(service_name)
        if outage is not None and not self._outages.may_test(service_name):
            return self._refusal_for_outage(request, outage)
        if self.returns is not None and not self.returns.leaves_room(request):
            message = "The slots that come free are for callers that come back now."
            return self._refusal(BindingCause.BOOKED, request, message)
        chosen = self._choice.choose(request, tried_ids)
        if isinstance(chosen, End) or not self._settings.is_enabled:
            return chosen
        # Target selection may have found that all targets fail.
        if self._outages.outage(service_name) is not None:
            self._outages.begin_test(request)
        return chosen

    def _may_release(self, service_name):
        """Return whether a target for waiting requests should be searched now."""
        if self._outages.outage(service_name) is not None:
            return self._outages.may_test(service_name)
        next_try = self._next_try.get(service_name)
        return next_try is None or next_try.passed()

    def _postpone(self, service_name):
        wait_s = self._settings.shortage_round_s
        self._next_try[service_name] = Deadline.after(self._clock, wait_s)

    def _refuse_all(self, service_name, message):
        for waiter in self._queue.ordered(service_name):
            pending = self._pending.get(waiter)
            if pending is not None:
                cause = BindingCause.NO_TARGET
                yield self._settle(
                    pending, self._refusal(cause, pending.request, message)
                )

    def _settle(self, pending, outcome):
        pending.outcome = outcome
        self._remove(pending)
        return pending

    def _remove(self, pending):
        if self._pending.pop(pending.waiter, None) is not None:
            self._queue.leave(pending.waiter)

    def _may_wait_for(self, cause, request, facts):
        """Return whether a request may wait until a cause of refusal is over.

        A new request that finds no free slot can be retried by its caller, while
        waiting would make it miss its latency objective.  Therefore it waits for a slot
        only if the service also gets less urgent requests, and only within its
        objective.
        """
        if facts.is_return:
            return cause.is_transient
        is_outage = cause is BindingCause.OUTAGE
        if is_outage or self._is_after_outage(cause, request.service_name):
            return True
        objective_s = request.route.objective_s
        if cause not in SHORTAGE_CAUSES or objective_s is None:
            return False
        facts.objective_s = objective_s
        return self._priorities.has_less_urgent(request.service_name, request.priority)

    def _is_after_outage(self, cause, service_name):
        """Return whether requests that arrived in an outage are still queued ahead."""
        if cause is not BindingCause.QUEUED:
            return False
        facts = [one.facts for one in self._queue.ordered(service_name)]
        return any(not one.is_return and one.objective_s is None for one in facts)

    def _has_place(self, request, facts):
        """Return whether the queue has room, after displacing a later one if needed."""
        if self._queue.has_place():
            return True
        waiters = self._queue.ordered(request.service_name)
        ahead_count = self._queue.ahead_count(
            request.service_name, request.priority, facts
        )
        if ahead_count == len(waiters):
            return False
        last = self._pending[waiters[-1]]
        self.give_up(last)
        self._displaced.append(last)
        return True

    def _log_no_wait(self, request, refusal, facts, no_wait):
        _logger.event(
            "request does not wait",
            id=request.request_id,
            service=request.service_name,
            cause=refusal.cause.value,
            why=no_wait.value,
            expected_left_s=round(facts.expected_left_s, 3),
            usual_s=round(facts.usual_s, 3),
            waiting=len(self._queue),
        )

    def _facts(self, request, arrived_at_s):
        facts = WaitFacts(
            request.kind in STREAM_KINDS,
            request.is_return,
            arrived_at_s,
            request.deadline,
            self.request_times.usual_s(request.route.name),
            self.expected_left_s(request.service_name),
        )
        facts.is_late = request.is_late
        facts.has_promise = request.has_promise
        return facts

    def _note_group_opened(self, group):
        """Search targets for all waiting requests in the next round."""
        self._next_try.clear()
        self._outages.forget_tests()

    def _refusal_behind(self, request, ahead_count):
        """Return the refusal of a new request that has others ahead in the queue."""
        outage = self._outages.outage(request.service_name)
        if outage is not None:
            return self._refusal_for_outage(request, outage)
        message = f"{ahead_count} requests that wait go before it."
        return self._refusal(BindingCause.QUEUED, request, message)

    def _refusal_for_outage(self, request, outage):
        lasted_s = self._clock.monotonic_s() - outage.began_at_s
        message = f"No target of its service has been usable for {lasted_s:.2f} s."
        return self._refusal(BindingCause.OUTAGE, request, message)

    def _refusal(self, cause, request, message):
        reason = Reason.NO_TARGET
        if cause in (BindingCause.QUEUED, BindingCause.BOOKED):
            reason = Reason.OVERLOADED
        return TargetRefusal(
            cause,
            reason,
            message,
            lambda: self._choice.retry_delay_s(request, cause),
        )


def _cause(refusal):
    return refusal.cause if isinstance(refusal, TargetRefusal) else None
