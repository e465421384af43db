"""Tests of every interleaving of two operators within limits, with log faults."""

import pytest

from siskinthread.configuration._fold import Fold
from siskinthread.configuration._publisher import Conflict, Published
from siskinthread.configuration._snapshots import snapshot_content
from siskinthread.configuration._verdict import Status
from siskinthread.configuration.tests.explorer import explore, read_file, Simulation

FILES = [
    (name, read_file(f'{{"hosts": [{{"name": "h", "labels": {{"by": "{name}"}}}}]}}'))
    for name in ("ada", "bo")
]


def check(world):
    late = world.finish()
    complete = Fold()
    verdicts = [complete.apply(record) for record in world.log.history]
    accepted = [verdict for verdict in verdicts if verdict.status is Status.ACCEPTED]
    # Each change is accepted at most once in the whole history, whatever was answered.
    authors = [verdict.change.author for verdict in accepted]
    assert len(set(authors)) == len(authors), authors
    # The state is the same on the node that followed the log, on a node that starts
    # now, and after a fold of the complete history.
    content = snapshot_content(complete)
    assert snapshot_content(world.node.fold) == content
    assert snapshot_content(late) == content
    offsets = {verdict.change.author: verdict.offset for verdict in accepted}
    for operator in world.operators:
        outcome = operator.outcome
        if isinstance(outcome, Published):
            assert offsets[operator.name] == outcome.version
        else:
            assert isinstance(outcome, Conflict)
            assert operator.name not in offsets


@pytest.mark.parametrize(
    ("events", "switches", "expected_runs"), [(0, 9, 60), (1, 2, 1072), (2, 0, 1212)]
)
def test_every_interleaving_publishes_at_most_once(events, switches, expected_runs):
    """Each change takes effect at most once, and nodes agree and never go back."""
    assert explore(lambda: Simulation(FILES, events, switches), check) == expected_runs
