"""Getting records from peers, and answering theirs."""

from siskinthread.configuration._peers import is_whole_status, MergeOutcome, own_status
from siskinthread.observability import part_logger
from siskinthread.wire import ConfigurationRequest

MILLISECONDS_PER_SECOND = 1000
_LOG = part_logger("configuration")


class Peers:
    """The peers that a process can ask; the daemons derive a class from it.

    This one stands for a process without peers, which reads the log itself.
    """

    __slots__ = ()

    def reads_log(self):
        """Return whether this process reads the log for the others.

        See `chosen_readers`; the hosts are those of its own failure domain.
        """
        return True

    async def ask(self, request, starting):
        """Send a `ConfigurationRequest`; return the `ConfigurationUpdate` answers.

        Parameters
        ----------
        request : ConfigurationRequest
            What to send.
        starting : bool
            Whether to ask several peers, also of other failure domains, because the
            log can't be read or this process starts; else one reader of the own domain
            is enough.

        Notes
        -----
        Takes a bounded time and raises nothing: peers that don't answer are left out.
        """
        return []


class PeerExchange:
    """The peers' side of a `LogFollower`.

    Parameters
    ----------
    reader : LogReader
        Its reader; the exchange runs in the same task.
    peers : Peers
        Whom to ask.
    view : ConfigurationView
        Confirmed with what the peers know.
    settings : ConfigurationSettings
        Limits.
    clock : Clock
        The process's clock.
    troubles : prometheus_client.Counter
        Counts by ``condition``.
    """

    __slots__ = ("_clock", "_peers", "_reader", "_settings", "_troubles", "_view")

    def __init__(self, reader, peers, view, settings, clock, troubles):
        self._reader = reader
        self._peers = peers
        self._view = view
        self._settings = settings
        self._clock = clock
        self._troubles = troubles

    def relies_on_peers(self):
        """Return whether the log need not be read while peers confirm the state."""
        return self._view.state is not None and not self._peers.reads_log()

    def confirmed(self):
        """Return whether the log was known to hold nothing newer a short time ago."""
        age_ms = self._confirmed_age_ms()
        limit_s = self._settings.peer_confirm_limit_s
        return age_ms is not None and age_ms <= limit_s * MILLISECONDS_PER_SECOND

    async def ask(self, starting):
        """Ask peers and fold what is new.

        Returns
        -------
        list of Merged
        """
        # Before the question is put: what a peer says of its age is older by then.
        asked_at_ms = self._clock.unix_ms()
        request = ConfigurationRequest(own_status(self._reader.fold))
        updates = await self._peers.ask(request, starting)
        updates = [item for item in updates if is_whole_status(item.status)]
        updates.sort(key=lambda update: update.status.applied_offset, reverse=True)
        merges = []
        for update in updates:
            merged = await self._reader.take(update)
            self._note(merged.outcome)
            merges.append(merged)
        self._confirm(updates, asked_at_ms)
        return merges

    async def answer(self, request):
        """Return the answer to a peer's `ConfigurationRequest`; for any task."""
        return await self._reader.answer(
            request, self._confirmed_age_ms(), self._settings.record_limit_bytes
        )

    def _confirm(self, updates, asked_at_ms):
        own = own_status(self._reader.fold)
        for update in updates:
            status = update.status
            same = (status.applied_offset, status.chain) == (
                own.applied_offset,
                own.chain,
            )
            if same and status.confirmed_age_ms is not None:
                self._view.confirm(asked_at_ms - status.confirmed_age_ms)

    def _confirmed_age_ms(self):
        if self._view.confirmed_at_ms is None:
            return None
        return max(0, self._clock.unix_ms() - self._view.confirmed_at_ms)

    def _note(self, outcome):
        if outcome in (MergeOutcome.DIVERGED, MergeOutcome.UNREADABLE):
            self._troubles.labels(condition=f"peer_{outcome}").inc()
            _LOG.error("A peer's configuration was not taken over: %s.", outcome)
