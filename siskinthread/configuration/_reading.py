"""Outcome of one read of the configuration stream."""

import enum


class Condition(enum.StrEnum):
    """State of the log found by a read."""

    GOOD = "good"
    # The log ends before the applied offset: records were lost, or it was replaced.
    SHORTENED = "shortened"
    # The record at the applied offset differs from the applied record.
    REWRITTEN = "rewritten"
    # Required records have expired, and no snapshot replaces them.
    GAP = "gap"
    # A record raised the format above the newest one that this program can read.
    HALTED = "halted"


class Reading:
    """Outcome of one read.

    Parameters
    ----------
    condition : Condition
        State of the log.
    next_offset : int
        End of the log.
    detail : str
        Description of a condition other than GOOD.
    records : list of LogRecord
        Folded records.
    verdicts : list of Verdict
        Verdict on each folded record.

    Attributes
    ----------
    diverged_offsets : list of int
        Offsets of snapshot parts whose content differs from this node's fold.
    """

    __slots__ = (
        "condition",
        "detail",
        "diverged_offsets",
        "next_offset",
        "records",
        "verdicts",
    )

    def __init__(self, condition, next_offset, detail="", records=(), verdicts=()):
        self.condition = condition
        self.next_offset = next_offset
        self.detail = detail
        self.records = list(records)
        self.verdicts = list(verdicts)
        self.diverged_offsets = []
