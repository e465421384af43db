"""Enumeration of faults of two candidates and of the gates of their group's ranks.

The choices, the faults of the gates and the engines are those of the explorer of map
changes.  Here the fencing numbers come from real claims on a log with its own faults.
"""

from siskinthread.errors import PlatformUnavailableError
from siskinthread.experts import ChangeResult, MapChange
from siskinthread.experts.tests._explorer import (
    Group,
    LAST_VERSION,
    NEW_VERSION,
    OLD_VERSION,
    Paused,
    run_to_end,
)
from siskinthread.ownership._fold import ClaimStatus
from siskinthread.ownership._reader import ClaimReader
from siskinthread.ownership.tests.fakes import FakeLogs
from siskinthread.ownership.tests.processes import GROUP, Process, Suspects
from siskinthread.timing import ManualClock

FIRST, SECOND = "a", "b"
SUCCEEDS, ANSWER_LOST, APPEND_DELAYED, APPEND_FAILS, OTHER_STEPS_FIRST = range(5)
APPEND_FAULT_COUNT = 5
NOTHING, FIRST_STEPS, DELAYED_APPEND_LANDS, OUTAGE, REPEATED = range(5)
EVENT_COUNT = 5
MAX_STEP_COUNT = 12
STEP_S = 4.0
STEPS_PER_ROUND = 2


class FaultyLogs(FakeLogs):
    """A log that injects a chosen fault into each append."""

    def __init__(self, clock, choices):
        super().__init__(clock)
        self.choices = choices
        self.faulty = True
        self.on_other_steps_first = None

    async def append(self, stream, body):
        fault = self.choices.pick(APPEND_FAULT_COUNT) if self.faulty else SUCCEEDS
        log = self.streams[stream]
        if fault == OTHER_STEPS_FIRST:
            self.on_other_steps_first()
        if fault == APPEND_FAILS:
            raise PlatformUnavailableError("log: no answer")
        if fault == APPEND_DELAYED:
            log.hold_appends = 1
        if fault == ANSWER_LOST:
            log.lose_answers = 1
        return await super().append(stream, body)


class Candidates:
    """Two candidates of a group that share one log."""

    def __init__(self, choices):
        self.choices = choices
        self.clock = ManualClock()
        self.logs = FaultyLogs(self.clock, choices)
        self.suspects = Suspects()
        hosts = [FIRST, SECOND]
        self.first = Process(self.logs, FIRST, hosts, self.suspects)
        self.second = Process(self.logs, SECOND, hosts, self.suspects)
        self._stepping = []
        self.logs.on_other_steps_first = self._step_other

    def step(self, process):
        """Run one step of a process.

        The other process may step between its read and its append.
        """
        self._stepping.append(process)
        process.step()
        self._stepping.pop()

    def _step_other(self):
        others = [self.first, self.second]
        idle = [process for process in others if process not in self._stepping]
        for process in idle:
            self.step(process)

    def claim(self, process):
        """Run steps of a process until it owns the group, with events in between."""
        for _ in range(MAX_STEP_COUNT):
            self.clock.advance(STEP_S)
            self.step(process)
            self.logs.down = False
            if process.owns():
                return
            self.inject_event()
        raise AssertionError(f"{process.host} never owns the group")

    def inject_event(self):
        """Inject a chosen event."""
        event = self.choices.pick(EVENT_COUNT) if self.logs.faulty else NOTHING
        stream = self.logs.streams["ownership"]
        if event == FIRST_STEPS:
            self.step(self.first)
        if event == DELAYED_APPEND_LANDS:
            stream.release()
        if event == OUTAGE:
            self.logs.down = True
        if event == REPEATED and stream.records:
            stream.put(stream.records[-1].body)

    def end_faults(self):
        """Remove all faults of the log and apply the delayed appends."""
        self.logs.faulty = False
        self.logs.down = False
        self.logs.streams["ownership"].release()

    def check(self):
        """Check that both see the same owner, and that no claim was granted twice."""
        self.end_faults()
        for process in (self.first, self.second):
            process.confirm()
        owners = {process.view.owner(GROUP) for process in (self.first, self.second)}
        assert len(owners) == 1, f"two owners: {owners}"
        reader = ClaimReader(self.logs, "ownership")
        reading = run_to_end(reader.catch_up())
        granted = [
            verdict.claim.claim_id
            for verdict in reading.verdicts
            if verdict.status is ClaimStatus.GRANTED
        ]
        assert len(granted) == len(set(granted)), f"granted twice: {granted}"
        assert reader.fold.owners[GROUP] in owners
        return reader.fold.owners[GROUP]


def race(choices):
    """Run two candidates alternately, with events and suspicions in between."""
    candidates = Candidates(choices)
    for suspect in (None, FIRST):
        candidates.suspects.hosts = {suspect} - {None}
        for process in (candidates.second, candidates.first) * STEPS_PER_ROUND:
            candidates.clock.advance(STEP_S)
            candidates.step(process)
            candidates.logs.down = False
            candidates.inject_event()
    candidates.check()


def take_over(checks_fencing, pause_after):
    """Return a run in which an owner pauses in a map change and wakes superseded.

    Parameters
    ----------
    checks_fencing : bool
        Whether the engines refuse outdated fencing numbers.
    pause_after : int
        Broadcasts of the first owner before it pauses.

    Notes
    -----
    The first owner wakes within any broadcast of its successor, or after all of them.
    It always wakes after its last read of the log, so that this check can't stop it.
    """

    def run(choices):
        candidates = Candidates(choices)
        group = Group(choices, checks_fencing, rank_count=2)
        candidates.claim(candidates.first)
        old = candidates.first.view.fencing(GROUP)
        first = Paused(group, lambda ranks: _change(ranks, old), pause_after)
        first.run()
        group.paused = first
        candidates.suspects.hosts.add(FIRST)
        candidates.claim(candidates.second)
        new = candidates.second.view.fencing(GROUP)
        assert new > old
        successor = MapChange(group, new)
        run_to_end(successor.recover(_map_of_version))
        version = group.engines[0].version
        result = run_to_end(successor.change(version, LAST_VERSION, None))
        group.paused = None
        first.resume(-1)
        if result is ChangeResult.CHANGED:
            versions = {engine.version for engine in group.engines}
            assert versions == {LAST_VERSION}, f"the change was undone: {versions}"
        if not any(choice for choice, _ in choices.made):
            # The gates refuse a successor whose fencing number is not higher.
            assert result is ChangeResult.CHANGED
        owner = candidates.check()
        group.check()
        assert candidates.first.confirm() is None or owner.host == FIRST
        group.end_without_faults()

    return run


def _change(ranks, fencing):
    return MapChange(ranks, fencing).change(OLD_VERSION, NEW_VERSION, None)


def _map_of_version(version):
    return None
