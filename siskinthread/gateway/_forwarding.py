"""Forwarding of one request, over several attempts if needed, to its final answer."""

import json

from siskinthread.gateway._attempt import Attempt, AttemptResult
from siskinthread.gateway._table import RequestKind
from siskinthread.gateway._target_end import has_ended
from siskinthread.observability import part_logger
from siskinthread.outcomes import End, Outcome, Reason

_logger = part_logger("gateway")

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# An unreachable target has not received the request, so it does not count as an
# attempt.  The bound lets a caller get an answer soon when no target of a service is
# reachable.
UNREACHABLE_LIMIT = 3
NOT_SENT = (AttemptResult.UNREACHABLE, AttemptResult.WITHHELD)
# An attempt after these results is not charged to the retry budget: the request was not
# sent, or the budget was charged when the stream left its target.
NOT_CHARGED = (*NOT_SENT, AttemptResult.LEFT)
# Results that show the target to be reachable.
REACHED_RESULTS = (AttemptResult.ANSWERED, AttemptResult.FAILED, AttemptResult.DECLINED)
# Results that do not count as failures of the target.
NOT_TARGET_FAILURES = (
    AttemptResult.DECLINED,
    AttemptResult.LEFT,
    AttemptResult.WITHHELD,
)


class Forwarding:
    """One request, its attempts and its answer.

    Parameters
    ----------
    parts : GatewayParts
        State that all requests share.
    request : GatewayRequest
        The request.
    reply : Reply
        Writes the answer to the caller.
    drain : siskinthread.http_server.DrainState
        Progress of a drain.
    """

    __slots__ = (
        "_attempts",
        "_arrived_at_s",
        "_drain",
        "_migration_target",
        "_migration_permit",
        "_parts",
        "_reply",
        "_request",
        "_sent_count",
        "_trial",
        "_tried_ids",
    )

    def __init__(self, parts, request, reply, drain):
        self._parts = parts
        self._drain = drain
        self._request = request
        self._reply = reply
        self._attempts = []
        self._arrived_at_s = parts.clock.monotonic_s()
        # Target at which a stream continues after it has left another one.
        self._migration_target = None
        # Permit for that target, until an attempt takes it over.
        self._migration_permit = None
        self._sent_count = 0
        # Trial of suspected parts of the prompt, if this request is one.
        self._trial = None
        self._tried_ids = set()

    async def run(self):
        """Forward the request and write its answer.

        Returns
        -------
        siskinthread.outcomes.End
            Outcome of the request.  If the reply has begun and not ended, the
            connection must be closed, which shows the caller that the answer is
            incomplete.
        """
        self._parts.budgets.note_request(self._request.service_name)
        self._parts.limits.note_asked(
            self._request.service_name, self._request.priority
        )
        self._parts.returns.note_arrival(self._request)
        self._parts.load_control.note_asked(self._request)
        self._parts.part_guard.note_asked(
            self._request.service_name, self._request.part_names
        )
        account = self._request.account
        if account is not None:
            self._parts.accounts.started(account.name)
        try:
            return await self._try_targets()
        finally:
            if self._migration_permit is not None:
                self._migration_permit.release()
            self._end_trial()
            for attempt in self._attempts:
                attempt.release()
            if account is not None:
                self._parts.accounts.ended(account.name)
            # The request may be the test of an outage, and its caller may have
            # disconnected before an attempt.
            self._parts.waiting_room.note_attempt_over(self._request)

    async def end_at_stop(self):
        """Write the answer of a request that a stop of this host has ended.

        Returns
        -------
        siskinthread.outcomes.End
            Outcome of the request.
        """
        # The attempt that was cancelled has no result.
        is_unsent = all(
            not one.written if one.result is None else one.result.is_not_run
            for one in self._attempts
        )
        if is_unsent:
            message = "This host is stopped before the request was sent."
            end = End(
                Outcome.REFUSED_NOT_RUN, Reason.NOT_READY, message, retry_after_s=0.0
            )
        else:
            message = "This host is stopped before the answer came; it may have run."
            end = End(Outcome.UNKNOWN, Reason.HOST_STOPPED, message)
        if not self._reply.has_begun:
            await self._write_end(end)
        return end

    async def _try_targets(self):
        while True:
            chosen = await self._next_target()
            if isinstance(chosen, End):
                if self._parts.targets.is_evacuated(self._request.service_name):
                    self._parts.measures.withheld_at_choice()
                return await self._answer_unserved(self._attempts[-1:], chosen)
            late_refusal = self._late_refusal()
            if late_refusal is not None:
                return await self._answer_unserved(self._attempts[-1:], late_refusal)
            if not self._may_spend_retry():
                return await self._answer_unserved(self._attempts[-1:], None)
            # No other task may run between the choice of the target and this line.
            permit = self._migration_permit or self._parts.cold.take(chosen)
            self._migration_permit = None
            attempt = Attempt(
                self._parts,
                self._request,
                chosen,
                self._reply,
                self._should_migrate,
                permit,
            )
            self._attempts.append(attempt)
            self._parts.limits.note_sent(chosen.instance_id)
            self._parts.backoffs.note_sent(chosen.instance_id)
            self._parts.outages.note_sent(self._group_of(chosen))
            await self._run_attempt(attempt)
            self._note_result(attempt)
            await self._note_reachability(attempt)
            await self._note_in_register(attempt)
            if attempt.result is AttemptResult.ANSWERED:
                return await self._answer(attempt)
            if attempt.result is AttemptResult.LEFT:
                continue
            if not self._may_retry(attempt):
                return await self._answer_unserved([attempt], None)

    async def _next_target(self):
        """Return the target of the next attempt or the `End` of the request.

        Waits in the waiting room if no target can take the request now.
        """
        chosen, self._migration_target = self._migration_target or self._choose(), None
        if not isinstance(chosen, End):
            return chosen
        if not self.is_unsent():
            return chosen
        chosen = await self._parts.waiting_room.wait(
            self._request, self._tried_ids, self._arrived_at_s, chosen
        )
        # Other attempts of the same request may have ended targets during the wait.
        return self._poison_refusal() or chosen

    def _late_refusal(self):
        """Return the `End` of a request that a drain may abort if it is sent, or None.

        A drain may have begun or gone on since the request arrived.  A begun answer is
        continued, as its caller may get the rest.
        """
        if self._reply.has_begun:
            return None
        request = self._request
        expected_s = self._parts.forecast.expected_s(request.route)
        refusal = self._drain.refusal(request.deadline, expected_s)
        return None if refusal is None else refusal.end

    async def _run_attempt(self, attempt):
        """Run an attempt, and record its duration if it was answered."""
        room = self._parts.waiting_room
        forecast = self._parts.forecast
        route = self._request.route
        began_at_s = self._parts.clock.monotonic_s()
        forecast.started(route, attempt)
        try:
            await attempt.run()
        finally:
            forecast.ended(route, attempt)
            room.note_attempt_over(self._request)
        if attempt.result is AttemptResult.ANSWERED:
            took_s = self._parts.clock.monotonic_s() - began_at_s
            room.request_times.note(route.name, took_s)
            forecast.answered(route, took_s)
            room.note_served(self._request.service_name)

    def is_unsent(self):
        """Return whether the request has definitely not run at any target."""
        results = [one.result for one in self._attempts]
        return all(one is not None and one.is_not_run for one in results)

    def describe(self):
        """Return the attempts as a list of `dict` for the log."""
        return [
            {
                "target": attempt.entry.instance_id,
                "group": self._parts.choice.group_of(attempt.entry.instance_id),
                "load": attempt.load_when_chosen,
                "slots": attempt.entry.slot_count,
                "result": attempt.result.value if attempt.result else "cancelled",
                "reason": attempt.reason,
                "target_ended": attempt.has_target_ended,
                "list_age_s": _rounded(attempt.list_age_s),
                "rested_s": _rounded(attempt.idle_before_s),
                "backoff_asked_s": attempt.backoff_asked_s,
                "says_leaving": attempt.says_leaving,
            }
            for attempt in self._attempts
        ]

    def _choose(self):
        """Return a target that can take the request now, or an `End`."""
        return self._poison_refusal() or self._parts.waiting_room.choose(
            self._request, self._tried_ids, self._arrived_at_s
        )

    def _poison_refusal(self):
        """Return the refusal of a request under which targets end, or None."""
        # Each retry of a caller may reach another host under another id.  Without a
        # register shared by all hosts, one request ended nine targets and their groups.
        blocked_until = self._parts.poison.blocked_until(self._request.fingerprint)
        if blocked_until is None:
            return self._part_refusal()
        return End(
            Outcome.REFUSED_NOT_RUN,
            Reason.ENDS_TARGETS,
            "Targets have ended under this request; it is not sent to any other.",
            retry_after_s=blocked_until.left_s(),
        )

    def _part_refusal(self):
        """Return the refusal of a request with a suspected part of a prompt, or None.

        Starts the trial of a suspected part if one is admitted.
        """
        request = self._request
        self._end_trial()
        admission = self._parts.part_guard.admit(
            request.service_name, request.part_names
        )
        self._trial = admission.trial
        if admission.trial is not None:
            self._parts.measures.part_suspected("tried")
        if admission.blocked_until is None:
            return None
        self._parts.measures.part_suspected("refused")
        return End(
            Outcome.REFUSED_NOT_RUN,
            Reason.ENDS_TARGETS,
            "Targets have ended under requests with a part of its prompt "
            f"({admission.part}); it is not sent to any other.",
            retry_after_s=admission.blocked_until.left_s(),
        )

    def _end_trial(self):
        if self._trial is not None:
            self._parts.part_guard.release(self._trial)
            self._trial = None

    def _should_migrate(self, attempt):
        """Return whether a stream should continue at another target, and choose it.

        A slow rank that gets no new requests still slows its group until its last
        stream has ended, which takes seconds because its passes are long.  Another rank
        completes the stream sooner, although it has to process the prompt again.
        """
        request = self._request
        target = attempt.entry.instance_id
        if request.kind is not RequestKind.STREAM_RESUMABLE:
            return False
        if not self._parts.slow_targets.is_slow(target):
            return False
        if self._sent_count + 1 >= request.route.attempt_limit:
            return False
        chosen = self._parts.choice.choose(request, {*self._tried_ids, target})
        if isinstance(chosen, End):
            return False
        if self._parts.slow_targets.is_slow(chosen.instance_id):
            return False
        if not self._parts.budgets.try_spend(request.service_name):
            return False
        self._migration_target = chosen
        self._migration_permit = self._parts.cold.take(chosen)
        return True

    async def _note_reachability(self, attempt):
        """Record whether the failure domain of the target is reachable."""
        checks = self._parts.reachability_checks
        if attempt.result is AttemptResult.UNREACHABLE or attempt.is_unacknowledged:
            await checks.note_unreachable(attempt.entry)
        elif attempt.result in REACHED_RESULTS:
            checks.note_reached(attempt.entry.failure_domain)

    async def _note_in_register(self, attempt):
        """Record for all hosts whether the request was served or may end targets."""
        if attempt.result is AttemptResult.ANSWERED and attempt.is_success:
            await self._parts.poison.answered(self._request.fingerprint)
            await self._parts.part_guard.answered(self._request.part_names)
        elif attempt.result is AttemptResult.LOST and attempt.is_broken_off:
            await self._check_target_end(attempt)

    async def _check_target_end(self, attempt):
        """Check whether the target of a lost attempt has ended, and record it.

        When one rank ends, its whole group breaks off its streams; only a connection to
        each target shows which rank has ended.
        """
        target = attempt.entry.instance_id
        # A target that leaves the list ends as planned.
        is_serving = self._parts.targets.is_serving(target)
        written_s = attempt.written_s()
        attempt.has_target_ended = await has_ended(attempt.entry, self._parts.settings)
        if not attempt.has_target_ended:
            return
        _logger.event(
            "target ended under a request",
            target=target,
            id=self._request.request_id,
            fingerprint=self._request.fingerprint,
            shared_parts=self._request.logged_parts(),
            has_head=attempt.has_head,
            written_s=round(written_s, 3),
            was_leaving=not is_serving,
        )
        if not is_serving:
            return
        await self._parts.poison.target_crashed(self._request.fingerprint, target)
        if written_s <= self._parts.settings.poison.settled_s:
            await self._parts.part_guard.target_crashed(
                self._request.part_names, target, self._trial
            )

    def _group_of(self, entry):
        return self._parts.choice.group_of(entry.instance_id)

    def _note_result(self, attempt):
        instance_id = attempt.entry.instance_id
        is_late = self._request.deadline.passed()
        self._tried_ids.add(instance_id)
        if attempt.result not in NOT_SENT:
            self._sent_count += 1
        self._parts.measures.attempt_ended(attempt.result)
        group = self._group_of(attempt.entry)
        self._parts.outages.note_ended(group)
        if attempt.is_group_fault:
            self._parts.outages.note_declined(group, attempt.sent_at_s)
        elif attempt.result is AttemptResult.DECLINED and attempt.has_free_slots:
            # A target without free slots is avoided by its reported load instead.
            self._parts.avoided.declined(instance_id)
        if not attempt.is_stale:
            self._note_failure(attempt)
        if attempt.result is AttemptResult.ANSWERED:
            self._parts.health.succeeded(instance_id)
            self._parts.outages.note_served(group, attempt.sent_at_s)
            self._parts.avoided.answered(instance_id)
        elif attempt.result in NOT_TARGET_FAILURES or attempt.is_stale or is_late:
            return
        else:
            self._parts.health.failed(instance_id, attempt.reason)

    def _note_failure(self, attempt):
        """Record a failure after which the target may have restarted and be cold."""
        instance_id = attempt.entry.instance_id
        is_broken_off = attempt.result is AttemptResult.LOST and attempt.is_broken_off
        if is_broken_off or attempt.result is AttemptResult.UNREACHABLE:
            self._parts.cold.note_failure(instance_id)
        elif attempt.result is AttemptResult.LOST and not attempt.has_head:
            self._parts.cold.note_failure(instance_id, attempt.sent_at_s)

    def _may_retry(self, attempt):
        """Return whether the request may be sent to another target."""
        if self._request.deadline.passed() or not self._reply.can_be_completed:
            return False
        if attempt.result is AttemptResult.WITHHELD:
            return True
        if attempt.result is AttemptResult.UNREACHABLE:
            unreachable = [one for one in self._attempts if not one.written]
            return len(unreachable) <= UNREACHABLE_LIMIT
        if not attempt.result.is_not_run and not self._request.kind.is_repeatable:
            return False
        return self._sent_count < self._request.route.attempt_limit

    def _may_spend_retry(self):
        """Return whether the retry budget allows the next attempt, and charge it.

        Called after a target is chosen, so that a request that no target can take does
        not use up the retry of another request.
        """
        if not self._attempts or self._attempts[-1].result in NOT_CHARGED:
            return True
        if self._parts.budgets.try_spend(self._request.service_name):
            return True
        self._attempts[-1].reason += "; the budget of repeats is spent"
        return False

    async def _answer(self, attempt):
        if attempt.answer is not None:
            attempt.release()
            await self._reply.write_answer(attempt.answer)
        return End(Outcome.ANSWERED, Reason.COMPLETE)

    async def _answer_unserved(self, last, refusal):
        """Write the final answer of a request that no target has answered.

        Parameters
        ----------
        last : list of Attempt
            The last attempt; empty if there was none.
        refusal : siskinthread.outcomes.End or None
            Why there is no further target.

        Returns
        -------
        siskinthread.outcomes.End
        """
        attempt = last[0] if last else None
        if attempt is not None and attempt.result is AttemptResult.FAILED:
            if not self._reply.has_begun:
                # Pass on the error response of the target unchanged.
                await self._reply.write_answer(attempt.answer)
            return End(Outcome.FAILED_RAN, Reason.TARGET_FAILED, attempt.reason)
        end = self._end(attempt, refusal)
        if not self._reply.has_begun:
            await self._write_end(end)
            if end.outcome is Outcome.REFUSED_NOT_RUN:
                self._parts.refusals.note(self._request, end, self._arrived_at_s)
        return end

    def _end(self, attempt, refusal):
        if all(one.result.is_not_run for one in self._attempts):
            if self._request.deadline.passed():
                message = "No target could take the request in time."
                return End(Outcome.REFUSED_NOT_RUN, Reason.DEADLINE_PASSED, message)
            if refusal is not None:
                return refusal
            reason = Reason.TARGET_REFUSED
            if attempt.result is AttemptResult.UNREACHABLE:
                reason = Reason.TARGET_UNREACHABLE
            wait_s = self._parts.choice.retry_delay_s(self._request)
            message = f"The target did not run it: {attempt.reason}."
            return End(Outcome.REFUSED_NOT_RUN, reason, message, retry_after_s=wait_s)
        if self._request.deadline.passed():
            message = "No answer came in time; the request may have run."
            return End(Outcome.UNKNOWN, Reason.DEADLINE_PASSED, message)
        return End(Outcome.UNKNOWN, Reason.TARGET_SILENT, "The answer was lost.")

    async def _write_end(self, end):
        status = STATUS_BAD_GATEWAY
        if end.outcome is Outcome.REFUSED_NOT_RUN:
            status = STATUS_UNAVAILABLE
        elif end.reason in (Reason.DEADLINE_PASSED, Reason.HOST_STOPPED):
            status = STATUS_GATEWAY_TIMEOUT
        headers = self._parts.wire.own_headers(
            self._request.request_id, end.retry_after_s
        )
        await self._reply.write_own_answer(status, headers, error_body(end))


def _rounded(time_s):
    return None if time_s is None else round(time_s, 3)


def error_body(end):
    """Return the JSON body of an error response of the gateway, as bytes."""
    error = {
        "outcome": end.outcome.label,
        "reason": str(end.reason),
        "message": end.message,
    }
    return json.dumps({"error": error}).encode()
