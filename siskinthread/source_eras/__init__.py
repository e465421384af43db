"""Eras of a source of records that may be restored from an older copy.

A source that is restored from a copy has lost the records that it acknowledged last,
and assigns their positions to new records.  Each restore begins an era.  `EraWatch`
tracks the newest era; a `Position` is valid only within its own era.
`PositionConfirmation` holds how long ago the source had nothing after a position.
"""

from siskinthread.source_eras._confirmation import (
    FAILED_CHECK_INTERVAL_S,
    PositionConfirmation,
)
from siskinthread.source_eras._position import Position
from siskinthread.source_eras._watch import EraWatch

__all__ = ["EraWatch", "FAILED_CHECK_INTERVAL_S", "Position", "PositionConfirmation"]
