"""Following what operators publish and which targets there are."""

import curio

from siskinthread.errors import PlatformUnavailableError, PositionExpiredError
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class Dependency:
    """Whether a service that this process depends on answers.

    Parameters
    ----------
    name : str
        For the log.
    clock : siskinthread.timing.Clock
        Clock of the ages.

    Attributes
    ----------
    is_lost : bool
        Whether the last call failed.
    """

    __slots__ = ("_answered_at_s", "_clock", "_lost_at_s", "is_lost", "name")

    def __init__(self, name, clock):
        self.name = name
        self._clock = clock
        self._answered_at_s = None
        self._lost_at_s = None
        self.is_lost = False

    def answered(self):
        """Note an answer."""
        now_s = self._clock.monotonic_s()
        self._answered_at_s = now_s
        if self.is_lost:
            self.is_lost = False
            _logger.event(
                "dependency regained",
                dependency=self.name,
                after_s=round(now_s - self._lost_at_s, 3),
            )

    def failed(self, error):
        """Note a call without an answer."""
        if not self.is_lost:
            self.is_lost = True
            self._lost_at_s = self._clock.monotonic_s()
            _logger.event("dependency lost", dependency=self.name, reason=str(error))

    def age_s(self):
        """Return the seconds since the last answer, or None if there was none."""
        if self._answered_at_s is None:
            return None
        return self._clock.monotonic_s() - self._answered_at_s


class TableFollower:
    """Keeps the route table in force up to date.

    Parameters
    ----------
    source : object
        ``async read_newest()`` returns a `RouteTable` or None, and a position;
        ``async read_changes(position, wait_s)`` the tables behind it, oldest first,
        and the next position.  Both raise `PlatformUnavailableError`, the latter also
        `PositionExpiredError`.
    view : TableView
        Where tables come into force.
    settings : GatewaySettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the ages.

    Attributes
    ----------
    dependency : Dependency
        Whether the source answers.
    """

    __slots__ = (
        "_position",
        "_reading",
        "_settings",
        "_source",
        "_view",
        "dependency",
    )

    def __init__(self, source, view, settings, clock):
        self._source = source
        self._reading = None
        self._view = view
        self._settings = settings
        self._position = None
        self.dependency = Dependency("published configuration", clock)

    async def run(self):
        """Follow for ever."""
        while True:
            self._reading = await curio.spawn(self._read_to_outcome, daemon=True)
            try:
                outcome = await self._reading.join()
            except curio.TaskError as error:
                if not isinstance(error.__cause__, curio.TaskCancelled):
                    raise
                continue
            if isinstance(outcome, Exception):
                await self._note_failure(outcome)
                continue
            self.dependency.answered()
            for table in outcome:
                self._put_in_force(table)

    async def read_again(self):
        """Give up a read that may wait in vain, and read at once.

        Symptom without this: a change came into force 8 s late.  A read that waits for
        changes reached the source while it answered nothing; the source came back and
        never answered that read.
        """
        if self._reading is not None:
            await self._reading.cancel(blocking=False)

    async def _note_failure(self, error):
        if isinstance(error, PlatformUnavailableError):
            self.dependency.failed(error)
            await curio.sleep(self._settings.source_retry_s)
        else:
            _logger.event("published configuration is read anew", reason=str(error))
            self._position = None

    async def _read_to_outcome(self):
        """Return the tables, or the error of the source as a value."""
        try:
            return await self._read()
        except (PlatformUnavailableError, PositionExpiredError) as error:
            return error

    async def _read(self):
        if self._position is None:
            table, self._position = await self._source.read_newest()
            return [] if table is None else [table]
        # A source that has just failed is asked for an answer at once.
        wait_s = 0.0 if self.dependency.is_lost else self._settings.table_wait_s
        tables, self._position = await self._source.read_changes(self._position, wait_s)
        return tables

    def _put_in_force(self, table):
        before = self._view.table
        if self._view.advance(table):
            _logger.event(
                "configuration in force",
                version=table.version,
                before=None if before is None else before.version,
            )


class TargetFollower:
    """Keeps the target list up to date.

    Parameters
    ----------
    source : object
        ``async read_all()`` returns the list of `TargetEntry` and a position; ``async
        read_changes(position)`` the list of `TargetChange` and the next position.
        Both raise like the source of a `TableFollower`.
    targets : TargetList
        Where they are noted.
    settings : GatewaySettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the ages.
    when_regained : callable
        Coroutine function that is called when the source answers again.

    Attributes
    ----------
    dependency : Dependency
        Whether the source answers.
    """

    __slots__ = (
        "_clock",
        "_position",
        "_settings",
        "_source",
        "_targets",
        "_when_regained",
        "dependency",
    )

    def __init__(self, source, targets, settings, clock, when_regained):
        self._when_regained = when_regained
        self._source = source
        self._targets = targets
        self._settings = settings
        self._clock = clock
        self._position = None
        self.dependency = Dependency("target list", clock)

    async def run(self):
        """Follow for ever."""
        while True:
            next_read = Deadline.after(self._clock, self._settings.target_interval_s)
            try:
                await self._read()
            except PlatformUnavailableError as error:
                self.dependency.failed(error)
                self._targets.note_outage()
                await curio.sleep(self._settings.source_retry_s)
                continue
            except PositionExpiredError as error:
                _logger.event("target list is read anew", reason=str(error))
                self._position = None
                continue
            if self.dependency.is_lost:
                await self._when_regained()
            self.dependency.answered()
            self._targets.expire_lapsed()
            await curio.sleep(next_read.left_s())

    async def _read(self):
        if self._position is None:
            entries, self._position = await self._source.read_all()
            self._targets.replace(entries)
            return
        changes, self._position = await self._source.read_changes(self._position)
        for change in changes:
            if change.entry is None:
                self._targets.vanish(change.instance_id)
            else:
                self._targets.put(change.entry)


class TargetChange:
    """A change of the target list.

    Parameters
    ----------
    instance_id : str
        The target.
    entry : TargetEntry or None
        Its new entry; None if it is not listed any more.
    """

    __slots__ = ("entry", "instance_id")

    def __init__(self, instance_id, entry):
        self.instance_id = instance_id
        self.entry = entry
