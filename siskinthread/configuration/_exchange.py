"""Exchange of records with peers."""

from siskinthread.configuration._peers import (
    is_complete_status,
    MergeOutcome,
    own_status,
)
from siskinthread.observability import part_logger
from siskinthread.wire import ConfigurationRequest

MILLISECONDS_PER_SECOND = 1000
_LOG = part_logger("configuration")


class Peers:
    """Peers of a process; daemons with peers use a subclass.

    The base class is for a process without peers, which reads the log itself.
    """

    __slots__ = ()

    def reads_log(self):
        """Return whether this process is a reader of the log for its failure domain.

        See `chosen_readers`, called with the hosts of the own failure domain.
        """
        return True

    async def ask(self, request, starting):
        """Send a `ConfigurationRequest` to peers and return their answers.

        Parameters
        ----------
        request : ConfigurationRequest
            Request to send.
        starting : bool
            Whether to ask several peers, including peers of other failure domains,
            because the log can't be read or this process is starting.  Otherwise, one
            reader of the own failure domain is enough.

        Returns
        -------
        list of ConfigurationUpdate
            Answers of the peers that responded.

        Notes
        -----
        Returns within a bounded time and raises no errors: peers that don't respond are
        omitted.
        """
        return []


class PeerExchange:
    """Exchanges records with peers on behalf of a `LogFollower`.

    Parameters
    ----------
    reader : LogReader
        Reader of the `LogFollower`; the exchange runs in the same task.
    peers : Peers
        Peers to send requests to.
    view : ConfigurationView
        View whose state the peers' answers can confirm.
    settings : ConfigurationSettings
        Limits.
    clock : Clock
        Clock of the process.
    troubles : prometheus_client.Counter
        Counter with the label ``condition``.
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
        """Return whether this process skips the log while peers confirm its state."""
        return self._view.state is not None and not self._peers.reads_log()

    def confirmed(self):
        """Return whether the state was confirmed within `peer_confirm_limit_s`."""
        age_ms = self._confirmed_age_ms()
        limit_s = self._settings.peer_confirm_limit_s
        return age_ms is not None and age_ms <= limit_s * MILLISECONDS_PER_SECOND

    async def ask(self, starting):
        """Request records from peers and fold the new ones.

        Parameters
        ----------
        starting : bool
            As for `Peers.ask`.

        Returns
        -------
        list of MergeResult
            One result per complete answer.
        """
        # Taken before the request: a peer computes its confirmed age later, so the
        # derived confirmation time is never too recent.
        asked_at_ms = self._clock.unix_ms()
        request = ConfigurationRequest(own_status(self._reader.fold))
        updates = await self._peers.ask(request, starting)
        updates = [item for item in updates if is_complete_status(item.status)]
        updates.sort(key=lambda update: update.status.applied_offset, reverse=True)
        merges = []
        for update in updates:
            merged = await self._reader.merge_update(update)
            self._record_outcome(merged.outcome)
            merges.append(merged)
        self._confirm(updates, asked_at_ms)
        return merges

    async def answer(self, request):
        """Return the answer to a peer's `ConfigurationRequest`.

        May be called from any task.
        """
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

    def _record_outcome(self, outcome):
        if outcome in (MergeOutcome.DIVERGED, MergeOutcome.UNREADABLE):
            self._troubles.labels(condition=f"peer_{outcome}").inc()
            _LOG.error("Rejected a configuration update from a peer: %s.", outcome)
