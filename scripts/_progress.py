"""Progress lines of a run."""

import time


class Progress:
    """Prints lines with the time since the start."""

    __slots__ = ("_started_at_s",)

    def __init__(self):
        self._started_at_s = time.monotonic()

    def say(self, text):
        """Print a line."""
        elapsed_s = time.monotonic() - self._started_at_s
        print(f"{elapsed_s:6.2f} s  {text}", flush=True)
