"""What both daemons do around their parts."""

import curio

from siskinthread.observability import set_up_logging

BACKLOG = 1024


def run_daemon(daemon_class, settings):
    """Run a daemon until a stop signal, with its log.

    Parameters
    ----------
    daemon_class : type
        Built from the settings; has the coroutine ``run()``.
    settings : Section
        Everything that the process is told.

    Returns
    -------
    int
        Exit status.
    """
    output = set_up_logging(settings.logging)
    try:
        curio.run(daemon_class(settings).run)
    finally:
        output.close()
    return 0
