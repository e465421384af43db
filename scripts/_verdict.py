"""Verdict on a run: the callers' answers compared with the runs at the targets."""

import collections

from scripts._judging import Verdict


class RunVerdict:
    """Counts of a run.

    Parameters
    ----------
    calls : list of scripts._load.Call
        All requests of the callers, with their attempts.
    ledgers : dict of str to dict
        Ledger of each target by host name.

    Attributes
    ----------
    requests, answered, refused_not_run, failed, unknown : int
        Number of requests, and of requests with each final outcome.
    truncated_as_whole : int
        Answers that ended regularly but were not the expected bytes.
    wrong_bytes : int
        Answers with a visible error and wrong bytes before it.
    run_twice : int
        Non-idempotent requests that the targets ran more than once.
    refused_but_ran : int
        Requests that ran although their last outcome was "refused, not run".
    answered_not_run : int
        Requests that were answered although no target ran them.
    unusual : list of scripts._load.Call
        Requests whose final outcome is not an answer.
    """

    __slots__ = (
        "_ledgers",
        "answered",
        "answered_not_run",
        "details",
        "failed",
        "refused_but_ran",
        "refused_not_run",
        "requests",
        "run_twice",
        "truncated_as_whole",
        "unknown",
        "unusual",
        "wrong_bytes",
    )

    def __init__(self, calls, ledgers):
        runs = _Runs(ledgers)
        final_counts = collections.Counter(call.verdict for call in calls)
        attempt_counts = collections.Counter(
            attempt.verdict for call in calls for attempt in call.attempts
        )
        self.requests = len(calls)
        self.answered = final_counts[Verdict.ANSWERED]
        self.refused_not_run = final_counts[Verdict.REFUSED_NOT_RUN]
        self.failed = final_counts[Verdict.FAILED]
        self.unknown = final_counts[Verdict.UNKNOWN]
        self.truncated_as_whole = attempt_counts[Verdict.TRUNCATED_AS_WHOLE]
        self.wrong_bytes = attempt_counts[Verdict.WRONG_BYTES]
        self._ledgers = ledgers
        self.details = []
        self.unusual = [call for call in calls if call.verdict is not Verdict.ANSWERED]
        self.run_twice = self._count(calls, runs, "run_twice", _ran_twice)
        self.refused_but_ran = self._count(
            calls, runs, "refused_but_ran", _refused_but_ran
        )
        self.answered_not_run = self._count(
            calls, runs, "answered_not_run", _answered_without_run
        )

    def unusual_lines(self, limit):
        """Return a line on each of the first `limit` requests without an answer."""
        return [describe(call, self._ledgers) for call in self.unusual[:limit]]

    def holds(self):
        """Return whether all invariants held."""
        return not (
            self.truncated_as_whole
            or self.wrong_bytes
            or self.run_twice
            or self.refused_but_ran
            or self.answered_not_run
        )

    def as_json(self):
        """Return the counts as a JSON value."""
        return {
            name: getattr(self, name)
            for name in (
                "requests",
                "answered",
                "refused_not_run",
                "failed",
                "unknown",
                "truncated_as_whole",
                "run_twice",
                "refused_but_ran",
                "wrong_bytes",
                "answered_not_run",
            )
        }

    def _count(self, calls, runs, name, violates):
        count = 0
        for call in calls:
            if violates(call, runs):
                count += 1
                self.details.append(f"{name}: {describe(call, self._ledgers)}")
        return count


class _Runs:
    """Number of runs at all targets, by request id and by idempotency key."""

    __slots__ = ("_by_id", "_by_key")

    def __init__(self, ledgers):
        self._by_id = collections.Counter()
        self._by_key = collections.Counter()
        for ledger in ledgers.values():
            for request_id, entry in ledger.items():
                self._by_id[request_id] += entry["runs"]
                if entry["idempotency_key"]:
                    self._by_key[entry["idempotency_key"]] += entry["runs"]

    def count(self, call):
        """Return how often targets ran a call, by any of its ids or by its key."""
        request_ids = {attempt.request_id for attempt in call.attempts}
        by_id = sum(self._by_id[request_id] for request_id in request_ids)
        if call.idempotency_key is None:
            return by_id
        return max(by_id, self._by_key[call.idempotency_key])


def describe(call, ledgers):
    """Return a line on a call, its attempts and its runs, for the report."""
    name = call.idempotency_key or (call.attempts[-1].request_id or "unnamed")
    attempts = "; ".join(_describe_attempt(attempt) for attempt in call.attempts)
    request_ids = {attempt.request_id for attempt in call.attempts}
    runs = ", ".join(
        f"{host} {ledger[request_id]['runs']} ({ledger[request_id]['finished']} ended)"
        for host, ledger in ledgers.items()
        for request_id in request_ids & ledger.keys()
    )
    return f"{call.kind} {name}: {attempts}; runs: {runs or 'none'}"


def _describe_attempt(attempt):
    waited_s = attempt.ended_at_s - attempt.started_at_s
    port = attempt.entry[1] if attempt.entry else "?"
    return (
        f"{attempt.verdict.value}/{attempt.reason} after {waited_s:.2f} s at {port}, "
        f"{len(attempt.answer.body)} bytes"
    )


def _ran_twice(call, runs):
    return not call.idempotent and runs.count(call) > 1


def _refused_but_ran(call, runs):
    # The last outcome counts, whatever earlier attempts reported: after a refusal the
    # caller may issue the work again under another key, and then nothing prevents a
    # second run.
    return call.verdict is Verdict.REFUSED_NOT_RUN and runs.count(call) > 0


def _answered_without_run(call, runs):
    return call.verdict is Verdict.ANSWERED and runs.count(call) == 0
