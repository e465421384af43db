"""Deadlines and clocks.

Only deadlines are stored.  Durations appear in settings and on the wire and become a
monotonic deadline at once.
"""

from siskinthread.timing._clock import Clock, ManualClock, SYSTEM_CLOCK
from siskinthread.timing._deadline import Deadline

__all__ = ["SYSTEM_CLOCK", "Clock", "Deadline", "ManualClock"]
