"""Counts, kept by the target itself, of how often each request ran."""


class LedgerEntry:
    """Runs of one request."""

    __slots__ = ("finished", "idempotency_key", "runs")

    def __init__(self, idempotency_key):
        self.idempotency_key = idempotency_key
        self.runs = 0
        self.finished = 0


class Ledger:
    """Runs by request id.

    Notes
    -----
    The ledger is the reference for checks of "at most once" and of "refused, not run".
    It is kept in the target, outside all processes of the system under test, so that no
    fault of theirs can hide a run.
    """

    __slots__ = ("_entries",)

    def __init__(self):
        self._entries = {}

    def count_run(self, request_id, idempotency_key):
        """Count a started run of a request."""
        entry = self._entries.get(request_id)
        if entry is None:
            entry = self._entries[request_id] = LedgerEntry(idempotency_key)
        entry.runs += 1

    def count_finished(self, request_id):
        """Count a finished run of a request."""
        self._entries[request_id].finished += 1

    def as_json(self):
        """Return the ledger as ``GET /ledger`` answers it."""
        return {
            request_id: {
                "runs": entry.runs,
                "idempotency_key": entry.idempotency_key,
                "finished": entry.finished,
            }
            for request_id, entry in self._entries.items()
        }
