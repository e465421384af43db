"""Supervises the long-lived tasks of a daemon until a stop signal.

Interface: ``async run_until_stopped(tasks, drain, reload=None)``; ``async
supervise(name, coroutine_function, *arguments)``.
"""

from siskinthread.supervision._supervision import run_until_stopped, supervise

__all__ = ["run_until_stopped", "supervise"]
