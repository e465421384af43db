"""Deadlines and clocks.

Only deadlines are stored.  Durations from settings and from the wire are converted to
monotonic deadlines on receipt.
"""

from siskinthread.timing._clock import Clock, ManualClock, SYSTEM_CLOCK
from siskinthread.timing._deadline import Deadline

__all__ = ["SYSTEM_CLOCK", "Clock", "Deadline", "ManualClock"]
