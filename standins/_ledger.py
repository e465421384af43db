"""Counts, kept by the target itself, of how often each request really ran."""


class LedgerEntry:
    """What is known of one request."""

    __slots__ = ("finished", "idempotency_key", "runs")

    def __init__(self, idempotency_key):
        self.idempotency_key = idempotency_key
        self.runs = 0
        self.finished = 0


class Ledger:
    """Runs by request id.

    Notes
    -----
    It is the judge of "at most once" and of "refused, not run": it stands in the
    target, beyond all of the system's own processes, so that no fault of those can
    hide a run.
    """

    __slots__ = ("_entries",)

    def __init__(self):
        self._entries = {}

    def note_run(self, request_id, idempotency_key):
        """Count that a request began to run."""
        entry = self._entries.get(request_id)
        if entry is None:
            entry = self._entries[request_id] = LedgerEntry(idempotency_key)
        entry.runs += 1

    def note_finished(self, request_id):
        """Count that a run came to its end."""
        self._entries[request_id].finished += 1

    def as_json(self):
        """Return the ledger as ``GET /ledger`` shows it."""
        return {
            request_id: {
                "runs": entry.runs,
                "idempotency_key": entry.idempotency_key,
                "finished": entry.finished,
            }
            for request_id, entry in self._entries.items()
        }
