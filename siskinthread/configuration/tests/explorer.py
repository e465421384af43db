"""Enumeration of interleavings of operators, log faults, snapshots and expiry.

Each operator is a coroutine that suspends before every call to the log.  A run makes a
sequence of choices; the explorer repeats runs until it has covered every sequence
within the limits.
"""

import random
import types

from siskinthread.configuration import ConfigurationSettings
from siskinthread.configuration._files import ConfigurationFiles
from siskinthread.configuration._operations import publish, PublishRequest
from siskinthread.configuration._reader import LogReader
from siskinthread.configuration._settings import OperatorSettings
from siskinthread.configuration._snapshots import encode_snapshot
from siskinthread.configuration.tests.fakes import FakeLog
from siskinthread.settings import Address
from siskinthread.timing import Deadline, ManualClock

READ = "read"
APPEND = "append"
SETTINGS = OperatorSettings(
    log=Address("127.0.0.1", 1), publishing=ConfigurationSettings()
)


@types.coroutine
def stop(call):
    """Suspend before a call; the driver resumes with ``send(None)``."""
    yield call


def read_file(text):
    """Return the `ConfigurationFiles` of one text."""
    files = ConfigurationFiles()
    files.add(text, "file")
    return files


def drive(coroutine):
    """Run a coroutine that needs no event loop and return its result."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as ended:
        return ended.value


class SteppedLog(FakeLog):
    """Suspends before each call and keeps the history of all records."""

    def __init__(self):
        super().__init__()
        self.history = []

    def put(self, body):
        offset = super().put(body)
        self.history.append(self.records[-1])
        return offset

    async def append(self, stream, body):
        await stop(APPEND)
        return await super().append(stream, body)

    async def read(self, stream, from_offset, limit=500, wait_s=0.0):
        await stop(READ)
        return await super().read(stream, from_offset, limit, wait_s)


class Operator:
    """Runs ``publish`` with a file, and again after a crash."""

    def __init__(self, log, name, files):
        self.log = log
        self.name = name
        self.files = files
        self.calls = 0
        self.outcome = None
        self.start()

    def start(self):
        request = PublishRequest(self.files, False, self.name, "", self.name, None)
        deadline = Deadline.after(ManualClock(), 10.0)
        source = random.Random(1)
        self.coroutine = publish(self.log, SETTINGS, request, deadline, source)
        self._go_on()

    def step(self):
        """Make the pending call and suspend before the next one."""
        self.calls += 1
        self._go_on()

    def crash(self):
        self.coroutine.close()
        self.start()

    def _go_on(self):
        self.next_call = None
        try:
            while self.next_call not in (READ, APPEND):
                self.next_call = self.coroutine.send(None)
        except StopIteration as ended:
            self.outcome = ended.value.outcome


class Simulation:
    """One run: the log, two operators, and a node that follows the log throughout."""

    def __init__(self, files, events_limit, switches_limit):
        self.log = SteppedLog()
        self.operators = [Operator(self.log, *item) for item in files]
        self.node = LogReader(self.log, "configuration")
        self.versions = [-1]
        self.events_left = events_limit
        self.switches_left = switches_limit
        self.running = None

    def actions(self):
        """Return the possible next steps as pairs of a method and arguments."""
        waiting = [item for item in self.operators if item.outcome is None]
        choices = [(self.step, (item,)) for item in waiting if self._may_run(item)]
        if self.log.held:
            choices.append((self.log.release, ()))
        if self.events_left and waiting:
            appending = [item for item in waiting if item.next_call == APPEND]
            choices += [(self.step, (item, "lost")) for item in appending]
            choices += [(self.step, (item, "held")) for item in appending]
            choices += [(self.crash, (item,)) for item in waiting if item.calls]
            choices.append((self.expire, ()))
        return choices

    def step(self, operator, fault=None):
        if self.running not in (None, operator):
            self.switches_left -= 1
        self.running = operator
        self.log.lose_answers = 1 if fault == "lost" else 0
        self.log.hold_appends = 1 if fault == "held" else 0
        self.events_left -= fault is not None
        operator.step()

    def crash(self, operator):
        self.events_left -= 1
        operator.crash()

    def expire(self):
        """Write a snapshot and let all records before it expire."""
        self.events_left -= 1
        fold = self.node.fold
        if fold.applied_offset >= 0:
            first = self.log.next_offset
            for body in encode_snapshot(fold, 4096):
                self.log.put(body)
            self.log.expire(first)

    def observe(self):
        """Let the node read and check that its version doesn't decrease."""
        fold = self.node.fold
        if fold is not None and fold.applied_offset + 1 == self.log.next_offset:
            return
        drive(self.node.catch_up())
        self.versions.append(self.node.fold.state.version)
        assert self.versions[-1] >= self.versions[-2], "the state was set back"

    def finish(self):
        """Let held appends take effect and return the fold of a node started now."""
        self.log.release()
        self.observe()
        late = LogReader(self.log, "configuration")
        drive(late.catch_up())
        return late.fold

    def _may_run(self, operator):
        return self.running in (None, operator) or (
            self.switches_left > 0 or self.running.outcome is not None
        )


def explore(make_world, check):
    """Run every sequence of choices once and return the number of runs.

    Parameters
    ----------
    make_world : callable
        Returns a fresh `Simulation`.
    check : callable
        Called with each simulation when it has finished.
    """
    runs = 0
    prefix = []
    while True:
        world, taken = make_world(), []
        world.observe()
        while choices := world.actions():
            index = prefix[len(taken)] if len(taken) < len(prefix) else 0
            taken.append((index, len(choices)))
            method, arguments = choices[index]
            method(*arguments)
            world.observe()
        check(world)
        runs += 1
        while taken and taken[-1][0] + 1 == taken[-1][1]:
            taken.pop()
        if not taken:
            return runs
        prefix = [index for index, _ in taken[:-1]] + [taken[-1][0] + 1]
