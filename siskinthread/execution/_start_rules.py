"""Checks whether a request of which the ledger has no record may run."""

from siskinthread.execution._building import is_keyed
from siskinthread.execution._keys import refused
from siskinthread.outcomes import Reason

# After these refusals an entry may report to the caller that the key did not run.
NOT_RUN_REASONS = frozenset({Reason.DEADLINE_PASSED, Reason.LEAVING, Reason.OVERLOADED})


class StartRules:
    """Checks of new requests.

    Parameters
    ----------
    parts : ExecutionParts
        Objects that the parts of an agent share.
    key_rules : KeyRules
        Checks whether a missing record proves that a key did not run.
    """

    __slots__ = ("_key_rules", "_ledger", "_settings")

    def __init__(self, parts, key_rules):
        self._settings = parts.settings
        self._ledger = parts.ledger
        self._key_rules = key_rules

    def rejection(self, message, attempt_id, leaving):
        """Return the `End` of a new request that must not run, or None.

        Parameters
        ----------
        message : StartRequest
            The request, of which the ledger has no record.
        attempt_id : AttemptId
            The attempt that sent the request.
        leaving : bool
            Whether this agent takes no new work.
        """
        keyed = is_keyed(message)
        if keyed:
            # Goes before any "not run": if the key may have run in an earlier process,
            # its outcome is unknown.
            rejection = self._key_rejection(message, attempt_id)
            if rejection is not None:
                return rejection
        if leaving:
            return refused(Reason.LEAVING, "The target is leaving.")
        if message.time_left_ms <= 0:
            return refused(Reason.DEADLINE_PASSED, "The deadline has passed.")
        if keyed and not self._ledger.has_room_for_key():
            return overloaded(self._settings)
        return None

    def _key_rejection(self, message, attempt_id):
        rejection = self._key_rules.rejection(message)
        if rejection is not None:
            return rejection
        block = self._ledger.find_block(message.request_id, attempt_id)
        if block is None:
            return None
        # NOT_READY does not report the key as not run, so this refusal does not extend
        # the block.
        return refused(
            Reason.NOT_READY,
            "The key was refused a moment ago.",
            retry_after_s=block.deadline.left_s(),
        )

    def note_refusal(self, message, attempt_id, end):
        """Block a key that was reported as not run; see `KeyBlock`."""
        if is_keyed(message) and end.reason in NOT_RUN_REASONS:
            self._ledger.block_key(message.request_id, attempt_id)


def overloaded(settings):
    """Return the end of a request that exceeds the limits of the agent."""
    return refused(
        Reason.OVERLOADED,
        "Too many requests wait at the target.",
        retry_after_s=settings.overload_retry_s,
    )
