"""Supervises the long-lived tasks of a daemon and waits for a stop signal.

Interface: ``async run_until_stopped(tasks, drain, reload=None)``; ``async
supervise(name, coroutine_function, *arguments)``; ``async wait_for_stop_signal()``.
"""

from siskinthread.supervision._supervision import (
    run_until_stopped,
    supervise,
    wait_for_stop_signal,
)

__all__ = ["run_until_stopped", "supervise", "wait_for_stop_signal"]
