"""Start and end of a daemon process."""

import curio

from siskinthread.observability import set_up_logging

BACKLOG = 1024


def run_daemon(daemon_class, settings):
    """Set up the log, and run a daemon until a stop signal.

    Parameters
    ----------
    daemon_class : type
        Class of the daemon, called with `settings`; has a coroutine ``run()``.
    settings : Section
        Settings of the process.

    Returns
    -------
    int
        Exit status of the process.
    """
    output = set_up_logging(settings.logging)
    try:
        curio.run(daemon_class(settings).run)
    finally:
        output.close()
    return 0
