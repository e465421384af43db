"""Following what operators publish."""

import curio

from siskinthread.errors import PlatformUnavailableError, PositionExpiredError
from siskinthread.gateway._dependency import Dependency
from siskinthread.observability import part_logger

_logger = part_logger("gateway")


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
    peers : siskinthread.peer_news.PeerNews or None
        Tells whether this host is the first of its failure domain to ask again.
    """

    __slots__ = (
        "_position",
        "_reading",
        "_settings",
        "_source",
        "_view",
        "_woken",
        "dependency",
        "peers",
    )

    def __init__(self, source, view, settings, clock):
        self._source = source
        self._reading = None
        self._view = view
        self._settings = settings
        self._position = None
        self._woken = curio.Event()
        self.peers = None
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
            if outcome:
                # Changes come in series, and only the newest of them counts.
                await curio.sleep(self._settings.table_pause_s)

    async def read_again(self):
        """Give up a read that may wait in vain, and read at once.

        Symptom without this: a change came into force 8 s late.  A read that waits for
        changes reached the source while it answered nothing; the source came back and
        never answered that read.
        """
        await self._woken.set()
        if self._reading is not None:
            await self._reading.cancel(blocking=False)

    async def _note_failure(self, error):
        if isinstance(error, PlatformUnavailableError):
            self.dependency.failed(error)
            is_first = self.peers is None or self.peers.is_first_of_domain()
            wait_s = self.dependency.retry_wait_s(self._settings, is_first)
            self._woken.clear()
            await curio.ignore_after(wait_s, self._woken.wait)
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
