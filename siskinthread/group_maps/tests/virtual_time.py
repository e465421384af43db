"""A curio kernel whose clock jumps to the next moment at which something is due."""

import selectors
from types import SimpleNamespace
from unittest import mock

import curio

from siskinthread.timing import ManualClock


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that advances a clock instead of waiting.

    Parameters
    ----------
    clock : siskinthread.timing.ManualClock
        The clock.
    """

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        """Return the files that are ready, or advance the clock by the timeout."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("deadlock: all tasks wait without a timeout")
            self._clock.advance(timeout)
        return ready


def run_in_virtual_time(main, *args):
    """Run ``main(clock, *args)`` in a kernel of its own; return its result."""
    clock = ManualClock()
    with mock.patch("curio.kernel.time", SimpleNamespace(monotonic=clock.monotonic_s)):
        kernel = curio.Kernel(selector=_JumpingSelector(clock))
        return kernel.run(main, clock, *args, shutdown=True)
