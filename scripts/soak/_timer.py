"""Process that sleeps and prints each late firing of its timer.

It runs during a soak as ``python scripts/soak/_timer.py``.  Each line is JSON: when the
timer was due and when it fired, monotonic seconds.  The optional argument is the
shortest delay that is printed, seconds.  A process that nearly always sleeps is
scheduled soon after it wakes, also when other processes are busy; a long delay thus
shows that the whole machine was paused, or everything that the user may run on it.
"""

import json
import sys
import time

TIMER_S = 0.02
# Shorter delays are common on a busy machine and violate no time bound.
SHORTEST_PAUSE_S = 0.1


def main(shortest_s=SHORTEST_PAUSE_S):
    """Run until ended by a signal."""
    while True:
        due_s = time.monotonic() + TIMER_S
        time.sleep(TIMER_S)
        now_s = time.monotonic()
        if now_s - due_s >= shortest_s:
            print(json.dumps([due_s, now_s]), flush=True)


if __name__ == "__main__":
    main(*map(float, sys.argv[1:]))
