"""Integration tests of dispatch, links, agents and targets under injected faults."""

import random

import curio
import pytest

from siskinthread.outcomes import Outcome, Part
from siskinthread.tests.cluster import (
    Cluster,
    LONG_SILENCE_LIMIT_S,
    make_request,
    SILENCE_LIMIT_S,
)

REQUEST_COUNT = 150
CALLER_COUNT = 10
FAULT_INTERVAL_REQUESTS = 12
SUBMISSION_LIMIT = 3


class Submission:
    """A request and the results of all its submissions.

    Each result is a tuple of the outcome, the received body and the number of runs on
    all targets when the answer ended.
    """

    def __init__(self, number, kind):
        prefix = "key/varsel/varsel-team" if kind == "keyed" else kind
        self.request_id = f"{prefix}/{number}"
        self.body = f"fault report {number}".encode()
        self.kind = kind
        self.results = []

    async def submit(self, entry, cluster):
        """Send the request through an entry and record its result."""
        request = make_request(
            self.request_id,
            self.body,
            idempotent=self.kind == "idempotent",
            keyed=self.kind == "keyed",
        )
        if self.results:
            request.issued_at_ms = self.issued_at_ms
        else:
            self.issued_at_ms = request.issued_at_ms
        events = await entry.answer(request)
        data = b"".join(event.data for event in events if isinstance(event, Part))
        self.results.append((events[-1].outcome, data, cluster.runs(self.request_id)))

    @property
    def needs_resubmission(self):
        """Whether the request has an idempotency key and is not answered yet."""
        return self.kind == "keyed" and self.results[-1][0] is not Outcome.ANSWERED


async def run_callers(cluster, source, faults):
    """Run a mix of requests, with a fault every `FAULT_INTERVAL_REQUESTS` requests."""
    kinds = ["idempotent", "plain", "keyed"]
    submissions = [
        Submission(number, source.choice(kinds)) for number in range(REQUEST_COUNT)
    ]
    waiting = list(submissions)

    async def run_caller():
        while waiting:
            submission = waiting.pop()
            if len(waiting) % FAULT_INTERVAL_REQUESTS == 0:
                await inject_fault(source.choice(faults), source.choice(cluster.agents))
            entries = list(cluster.entries)
            source.shuffle(entries)
            await submission.submit(entries[0], cluster)
            for number in range(1, SUBMISSION_LIMIT):
                if submission.needs_resubmission:
                    await submission.submit(entries[number % len(entries)], cluster)

    async with curio.TaskGroup() as group:
        for _ in range(CALLER_COUNT):
            await group.spawn(run_caller)
    assert group.exception is None
    return submissions


async def inject_fault(fault, agent):
    """Inject a fault into an agent host."""
    if fault == "cut":
        await agent.relay.cut()
    elif fault == "silence":
        agent.relay.fall_silent()
    elif fault == "replace":
        await agent.replace_agent()
    elif fault == "target dies":
        agent.target.pending_crashes += 1


def run_cluster(seed, faults, silence_limit_s=SILENCE_LIMIT_S):
    """Run a cluster; return it and its submissions after all of them have ended."""
    source = random.Random(seed)

    async def main():
        cluster = Cluster(source, silence_limit_s)
        await cluster.start()
        submissions = await run_callers(cluster, source, faults)
        await cluster.stop()
        return cluster, submissions

    return curio.run(main)


def test_without_faults_every_request_runs_once_and_is_answered():
    """Each request runs exactly once and gets its own answer.

    The silence limit is long: with the short limit a pause of this process on a busy
    machine makes links fall silent, and requests then correctly end as unknown.
    """
    cluster, submissions = run_cluster(1, ["none"], LONG_SILENCE_LIMIT_S)
    for submission in submissions:
        expected_answer = b"answer to " + submission.body
        assert submission.results == [(Outcome.ANSWERED, expected_answer, 1)]
        assert cluster.runs(submission.request_id) == 1


@pytest.mark.parametrize("seed", range(3))
def test_outcomes_are_true_under_faults(seed):
    """Outcomes agree with the runs counted by the targets.

    Guards against duplicate, lost or swapped answers when connections are closed or
    fall silent, agents are replaced, targets crash after running a request, and callers
    submit a request with an idempotency key again through another entry.
    """
    faults = ["cut", "silence", "replace", "target dies"]
    cluster, submissions = run_cluster(seed, faults)
    for submission in submissions:
        check_invariants(submission, cluster.runs(submission.request_id))
    answered = [
        submission
        for submission in submissions
        if submission.results[-1][0] is Outcome.ANSWERED
    ]
    assert len(answered) > REQUEST_COUNT / 2


def check_invariants(submission, runs):
    """Check the invariants that hold for a request under any faults."""
    for outcome, data, runs_at_end in submission.results:
        if outcome is Outcome.ANSWERED:
            assert data == b"answer to " + submission.body
        if outcome is Outcome.REFUSED_NOT_RUN:
            assert runs_at_end == 0, submission.request_id
        elif outcome is not Outcome.UNKNOWN:
            assert runs_at_end >= 1, submission.request_id
    if submission.results[-1][0] is Outcome.REFUSED_NOT_RUN:
        assert runs == 0, submission.request_id
    if submission.kind != "idempotent":
        assert runs <= 1, submission.request_id
