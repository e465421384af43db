"""Outcome of one read of the configuration stream."""

import enum


class Condition(enum.StrEnum):
    """What a read of the log met."""

    GOOD = "good"
    # The log ends before what was applied: records were lost, or it was replaced.
    SHORTENED = "shortened"
    # The last applied record is another one now.
    REWRITTEN = "rewritten"
    # Records that are needed have expired, and no snapshot stands for them.
    GAP = "gap"
    # A record raised the format above what this program knows.
    HALTED = "halted"


class Reading:
    """Outcome of one read.

    Parameters
    ----------
    condition : Condition
        Whether the log could be followed.
    detail : str
        One sentence about any other condition than GOOD.
    records : list of LogRecord
        Records that were folded.
    verdicts : list of Verdict
        What became of each of them.
    next_offset : int
        Where the log ended.

    Attributes
    ----------
    diverged_offsets : list of int
        Snapshots whose content isn't that of this node's fold at the same offset.
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
