"""Whether a request that the ledger does not know may run."""

from siskinthread.execution._building import is_keyed
from siskinthread.execution._keys import refused
from siskinthread.outcomes import Reason

# Refusals after which an entry may tell the caller of a key that it did not run.
VOUCHED_REASONS = frozenset({Reason.DEADLINE_PASSED, Reason.LEAVING, Reason.OVERLOADED})


class StartRules:
    """Checks of new requests.

    Parameters
    ----------
    parts : ExecutionParts
        What the parts of an agent share.
    key_rules : KeyRules
        Tells whether the ledger vouches for a key.
    """

    __slots__ = ("_key_rules", "_ledger", "_settings")

    def __init__(self, parts, key_rules):
        self._settings = parts.settings
        self._ledger = parts.ledger
        self._key_rules = key_rules

    def objection(self, message, attempt_id, leaving):
        """Return the `End` that forbids to run a new request, or None.

        Parameters
        ----------
        message : StartRequest
            The request; the ledger does not know it.
        attempt_id : AttemptId
            The attempt that asks.
        leaving : bool
            Whether this agent takes no new work.
        """
        keyed = is_keyed(message)
        if keyed:
            # Whether the ledger vouches for the key comes before every "not run".
            objection = self._key_objection(message, attempt_id)
            if objection is not None:
                return objection
        if leaving:
            return refused(Reason.LEAVING, "The target is leaving.")
        if message.time_left_ms <= 0:
            return refused(Reason.DEADLINE_PASSED, "The deadline has passed.")
        if keyed and not self._ledger.has_room_for_key():
            return overloaded(self._settings)
        return None

    def _key_objection(self, message, attempt_id):
        objection = self._key_rules.objection(message)
        if objection is not None:
            return objection
        hold = self._ledger.hold(message.request_id, attempt_id)
        if hold is None:
            return None
        # It says nothing of the key, so the hold need not be prolonged for its sake.
        return refused(
            Reason.NOT_READY,
            "The key was refused a moment ago.",
            retry_after_s=hold.deadline.left_s(),
        )

    def note_refusal(self, message, attempt_id, end):
        """Hold a key that was refused on the ledger's word; see `KeyHold`."""
        if is_keyed(message) and end.reason in VOUCHED_REASONS:
            self._ledger.hold_key(message.request_id, attempt_id)


def overloaded(settings):
    """Return the end of a request for which there is no room."""
    return refused(
        Reason.OVERLOADED,
        "Too many requests wait at the target.",
        retry_after_s=settings.overload_retry_s,
    )
