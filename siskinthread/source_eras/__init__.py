"""Eras of a source of records, which may come back older than it was.

A source that is restored from a copy has lost what it acknowledged last, and gives the
positions of the lost records out again.  Each restore begins an era; `EraWatch` knows
the newest one, and a `Position` means something in its own era only.
"""

from siskinthread.source_eras._position import Position
from siskinthread.source_eras._watch import EraWatch

__all__ = ["EraWatch", "Position"]
