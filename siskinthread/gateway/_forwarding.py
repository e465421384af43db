"""From an accepted request to its final answer, over as many targets as it may have."""

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
# Targets that can't be reached have not been asked, so they don't count as attempts;
# a service with none that can be reached must still get an answer soon.
UNREACHABLE_LIMIT = 3
NOT_SENT = (AttemptResult.UNREACHABLE, AttemptResult.WITHHELD)
# What follows them is no repeat, or has been paid for when the stream left its target.
NOT_REPEATED = (*NOT_SENT, AttemptResult.LEFT)
# Results of attempts to which the target has just answered.
REACHED = (AttemptResult.ANSWERED, AttemptResult.FAILED, AttemptResult.DECLINED)
# Results that do not show a target to fail.
NOT_TO_BLAME = (AttemptResult.DECLINED, AttemptResult.LEFT, AttemptResult.WITHHELD)


class Forwarding:
    """One request, its attempts and its answer.

    Parameters
    ----------
    parts : GatewayParts
        What all requests share.
    request : GatewayRequest
        The request.
    reply : Reply
        Where the answer goes.
    """

    __slots__ = (
        "_attempts",
        "_came_at_s",
        "_next",
        "_next_permit",
        "_parts",
        "_reply",
        "_request",
        "_sent_count",
        "_trial",
        "_tried_ids",
    )

    def __init__(self, parts, request, reply):
        self._parts = parts
        self._request = request
        self._reply = reply
        self._attempts = []
        self._came_at_s = parts.clock.monotonic_s()
        # The target that a stream goes on at, once it has left another one.
        self._next = None
        # Its place there, until an attempt has taken it over.
        self._next_permit = None
        self._sent_count = 0
        # That the request tries suspected parts of its prompt.
        self._trial = None
        self._tried_ids = set()

    async def run(self):
        """Answer the request.

        Returns
        -------
        siskinthread.outcomes.End
            What became of it.  If the reply has begun and not ended, the connection
            must be closed, which shows the caller that the answer is not whole.
        """
        self._parts.budgets.note_request(self._request.service_name)
        self._parts.limits.note_asked(
            self._request.service_name, self._request.priority
        )
        self._parts.returns.note_came(self._request)
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
            if self._next_permit is not None:
                self._next_permit.release()
            self._end_trial()
            for attempt in self._attempts:
                attempt.release()
            if account is not None:
                self._parts.accounts.ended(account.name)
            # It may have been chosen to test an outage, and its caller have left.
            self._parts.waiting_room.note_attempt_over(self._request)

    async def _try_targets(self):
        while True:
            chosen = await self._next_target()
            if isinstance(chosen, End):
                if self._parts.targets.is_evacuated(self._request.service_name):
                    self._parts.measures.withheld_at_choice()
                return await self._give_up(self._attempts[-1:], chosen)
            if not self._may_pay_for_repeat():
                return await self._give_up(self._attempts[-1:], None)
            # Nothing else may run between the choice and this.
            permit = self._next_permit or self._parts.cold.take(chosen)
            self._next_permit = None
            attempt = Attempt(
                self._parts,
                self._request,
                chosen,
                self._reply,
                self._should_leave,
                permit,
            )
            self._attempts.append(attempt)
            self._parts.limits.note_sent(chosen.instance_id)
            self._parts.backoffs.note_sent(chosen.instance_id)
            self._parts.outages.note_sent(self._group_of(chosen))
            await self._run_attempt(attempt)
            self._note(attempt)
            await self._note_reach(attempt)
            await self._note_for_others(attempt)
            if attempt.result is AttemptResult.ANSWERED:
                return await self._answer(attempt)
            if attempt.result is AttemptResult.LEFT:
                continue
            if not self._may_go_on(attempt):
                return await self._give_up([attempt], None)

    async def _next_target(self):
        """Return the target of the next attempt, or the `End` of the request."""
        chosen, self._next = self._next or self._choose(), None
        if not isinstance(chosen, End):
            return chosen
        if not self.is_unsent():
            return chosen
        chosen = await self._parts.waiting_room.wait(
            self._request, self._tried_ids, self._came_at_s, chosen
        )
        # Other tries of it may have ended targets meanwhile.
        return self._kept_off() or chosen

    async def _run_attempt(self, attempt):
        """Run an attempt, and note how long an answer took."""
        room = self._parts.waiting_room
        began_at_s = self._parts.clock.monotonic_s()
        try:
            await attempt.run()
        finally:
            room.note_attempt_over(self._request)
        if attempt.result is AttemptResult.ANSWERED:
            took_s = self._parts.clock.monotonic_s() - began_at_s
            room.request_times.note(self._request.route.name, took_s)
            room.note_served(self._request.service_name)

    def is_unsent(self):
        """Return whether the request has certainly not run at any target."""
        results = [one.result for one in self._attempts]
        return all(one is not None and one.is_not_run for one in results)

    def describe(self):
        """Return the attempts for the log."""
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
                "rested_s": _rounded(attempt.rested_s),
                "backoff_asked_s": attempt.backoff_asked_s,
                "says_leaving": attempt.says_leaving,
            }
            for attempt in self._attempts
        ]

    def _choose(self):
        """Return the target of the next attempt, or the `End` of the request."""
        return self._kept_off() or self._parts.waiting_room.choose(
            self._request, self._tried_ids, self._came_at_s
        )

    def _kept_off(self):
        """Return the `End` of a request that ends targets, or None."""
        # Each try comes to another entry under another id; without what all of them
        # know, one request ended nine targets, and their groups with them.
        kept_off = self._parts.poison.kept_off_until(self._request.fingerprint)
        if kept_off is None:
            return self._kept_off_for_part()
        return End(
            Outcome.REFUSED_NOT_RUN,
            Reason.ENDS_TARGETS,
            "Targets have ended under this request; it is not sent to any other.",
            retry_after_s=kept_off.left_s(),
        )

    def _kept_off_for_part(self):
        """Return the `End` of a request with a part that ends targets, or None."""
        request = self._request
        self._end_trial()
        admission = self._parts.part_guard.admit(
            request.service_name, request.part_names
        )
        self._trial = admission.trial
        if admission.trial is not None:
            self._parts.measures.part_suspected("tried")
        if admission.kept_off_until is None:
            return None
        self._parts.measures.part_suspected("refused")
        return End(
            Outcome.REFUSED_NOT_RUN,
            Reason.ENDS_TARGETS,
            "Targets have ended under requests with a part of its prompt "
            f"({admission.part}); it is not sent to any other.",
            retry_after_s=admission.kept_off_until.left_s(),
        )

    def _end_trial(self):
        if self._trial is not None:
            self._parts.part_guard.release(self._trial)
            self._trial = None

    def _should_leave(self, attempt):
        """Return whether a stream goes on elsewhere, and choose where.

        A slow rank that gets no new requests holds its group back until its last stream
        has ended, which takes seconds: its passes are long.  The rest of a stream is
        had sooner at another rank, which reads the prompt once more.
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
        self._next = chosen
        self._next_permit = self._parts.cold.take(chosen)
        return True

    async def _note_reach(self, attempt):
        """Note whether the failure domain of the target could be reached."""
        checks = self._parts.reachability_checks
        if attempt.result is AttemptResult.UNREACHABLE or attempt.is_unacknowledged:
            await checks.note_unreachable(attempt.entry)
        elif attempt.result in REACHED:
            checks.note_reached(attempt.entry.failure_domain)

    async def _note_for_others(self, attempt):
        """Note what the attempt shows of the request itself, for all its tries."""
        if attempt.result is AttemptResult.ANSWERED and attempt.is_success:
            await self._parts.poison.answered(self._request.fingerprint)
            await self._parts.part_guard.answered(self._request.part_names)
        elif attempt.result is AttemptResult.LOST and attempt.is_broken_off:
            await self._look_at_target(attempt)

    async def _look_at_target(self, attempt):
        """Find out whether the target of a lost attempt has ended.

        A group of ranks cuts off all of its streams when one rank ends; only a look
        at each target tells which one it was.
        """
        target = attempt.entry.instance_id
        # One that leaves ends as planned.
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
        await self._parts.poison.target_ended(self._request.fingerprint, target)
        if written_s <= self._parts.settings.poison.settled_s:
            await self._parts.part_guard.target_ended(
                self._request.part_names, target, self._trial
            )

    def _group_of(self, entry):
        return self._parts.choice.group_of(entry.instance_id)

    def _note(self, attempt):
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
            # One that is full counts as full by its load, until a slot is free.
            self._parts.avoided.declined(instance_id)
        if not attempt.is_stale:
            self._note_failure(attempt)
        if attempt.result is AttemptResult.ANSWERED:
            self._parts.health.succeeded(instance_id)
            self._parts.outages.note_served(group, attempt.sent_at_s)
            self._parts.avoided.answered(instance_id)
        elif attempt.result in NOT_TO_BLAME or attempt.is_stale or is_late:
            return
        else:
            self._parts.health.failed(instance_id, attempt.reason)

    def _note_failure(self, attempt):
        """Note a target after whose failure it may be cold."""
        instance_id = attempt.entry.instance_id
        is_broken_off = attempt.result is AttemptResult.LOST and attempt.is_broken_off
        if is_broken_off or attempt.result is AttemptResult.UNREACHABLE:
            self._parts.cold.note_failure(instance_id)
        elif attempt.result is AttemptResult.LOST and not attempt.has_head:
            self._parts.cold.note_failure(instance_id, attempt.sent_at_s)

    def _may_go_on(self, attempt):
        """Return whether the request may be sent to another target."""
        if self._request.deadline.passed():
            return False
        if attempt.result is AttemptResult.WITHHELD:
            return True
        if attempt.result is AttemptResult.UNREACHABLE:
            unreachable = [one for one in self._attempts if not one.written]
            return len(unreachable) <= UNREACHABLE_LIMIT
        if not attempt.result.is_not_run and not self._request.kind.is_repeatable:
            return False
        return self._sent_count < self._request.route.attempt_limit

    def _may_pay_for_repeat(self):
        """Return whether the budget of repeats has room for the next attempt.

        It is asked once a target is chosen: a request that no target can take now must
        not use up another one's repeat.
        """
        if not self._attempts or self._attempts[-1].result in NOT_REPEATED:
            return True
        if self._parts.budgets.try_spend(self._request.service_name):
            return True
        self._attempts[-1].reason += "; the budget of repeats is spent"
        return False

    async def _answer(self, attempt):
        if attempt.answer is not None:
            attempt.release()
            await self._reply.whole(attempt.answer)
        return End(Outcome.ANSWERED, Reason.COMPLETE)

    async def _give_up(self, last, refusal):
        """Write the final answer of a request that no target has answered.

        Parameters
        ----------
        last : list of Attempt
            The last attempt, if there was one.
        refusal : siskinthread.outcomes.End or None
            Why there is no further target.
        """
        attempt = last[0] if last else None
        if attempt is not None and attempt.result is AttemptResult.FAILED:
            if not self._reply.has_begun:
                # The target's own failure, in its own words.
                await self._reply.whole(attempt.answer)
            return End(Outcome.FAILED_RAN, Reason.TARGET_FAILED, attempt.reason)
        end = self._end(attempt, refusal)
        if not self._reply.has_begun:
            await self._write_end(end)
            if end.outcome is Outcome.REFUSED_NOT_RUN:
                self._parts.refusals.note(self._request, end, self._came_at_s)
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
            wait_s = self._parts.choice.come_back_after_s(self._request)
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
        elif end.reason is Reason.DEADLINE_PASSED:
            status = STATUS_GATEWAY_TIMEOUT
        headers = self._parts.wire.own_headers(
            self._request.request_id, end.retry_after_s
        )
        await self._reply.own(status, headers, own_body(end))


def _rounded(time_s):
    return None if time_s is None else round(time_s, 3)


def own_body(end):
    """Return the body of an answer of the gateway itself, as bytes."""
    error = {
        "outcome": end.outcome.label,
        "reason": str(end.reason),
        "message": end.message,
    }
    return json.dumps({"error": error}).encode()
