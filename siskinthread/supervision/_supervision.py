"""Supervises the long-lived tasks of a daemon until a stop signal."""

import curio

from siskinthread.errors import InvariantError
from siskinthread.observability import part_logger
from siskinthread.supervision._signals import DaemonSignals, RELOAD_SIGNAL

FIRST_RESTART_WAIT_S = 0.1
LONGEST_RESTART_WAIT_S = 5.0
BACK_OFF_RESET_S = 30.0

_logger = part_logger("daemons")


async def supervise(name, coroutine_function, *arguments):
    """Run a coroutine function and restart it after an error.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    coroutine_function : callable
        Called once for each run.
    *arguments
        Arguments of the coroutine function.

    Returns
    -------
    object
        Result of the coroutine function; a run that returns is not repeated.

    Raises
    ------
    InvariantError
        Propagated at once, because the state of the process is no longer reliable.

    Notes
    -----
    Without supervision, any other error in a task, such as an unexpected answer of the
    platform, would end the task silently, and the process would continue without it:
    the configuration would no longer be updated, or links would not be replaced.  The
    error is logged with its traceback, and the task restarts with exponential back-off,
    which bounds the cost of a permanent fault.
    """
    wait_s = FIRST_RESTART_WAIT_S
    while True:
        started_at_s = await curio.clock()
        try:
            return await coroutine_function(*arguments)
        except InvariantError:
            _logger.critical("Task %s violated an invariant.", name, exc_info=True)
            raise
        except (Exception, curio.TaskTimeout):
            _logger.exception("Task %s failed; restarting.", name)
        if await curio.clock() - started_at_s > BACK_OFF_RESET_S:
            wait_s = FIRST_RESTART_WAIT_S
        await curio.sleep(wait_s)
        wait_s = min(2 * wait_s, LONGEST_RESTART_WAIT_S)


async def run_until_stopped(tasks, drain, reload=None):
    """Supervise tasks until a stop signal, then drain and cancel the tasks.

    Parameters
    ----------
    tasks : dict of str to callable
        Coroutine functions without arguments, by name.
    drain : callable
        Coroutine function, called after the first stop signal while the tasks still
        run.  Later stop signals are ignored.
    reload : callable or None
        Called at each SIGHUP, also during the drain; None if the daemon reads its
        settings only at its start.

    Raises
    ------
    InvariantError
        If a task violated an invariant.

    Notes
    -----
    The process should end soon after the return: SIGTERM, SIGINT and SIGHUP are ignored
    from then on.
    """
    async with DaemonSignals() as signals:
        stop = curio.Event()
        async with curio.TaskGroup(wait=object) as group:
            await group.spawn(_handle_signals, signals, stop, reload)
            await group.spawn(_drain_after_stop, stop, drain)
            for name, coroutine_function in tasks.items():
                await group.spawn(_supervise_to_end, name, coroutine_function)
        if group.exception is not None:
            raise group.exception


async def _handle_signals(signals, stop, reload):
    while True:
        number = await signals.next()
        if number == RELOAD_SIGNAL:
            _reload_settings(reload)
        elif stop.is_set():
            _logger.info("Received %s during the drain; ignored.", number.name)
        else:
            _logger.info("Received %s; draining.", number.name)
            await stop.set()


def _reload_settings(reload):
    if reload is None:
        _logger.info("Received SIGHUP; settings are read only at the start.")
        return
    try:
        reload()
    except InvariantError:
        raise
    except Exception:
        _logger.exception("Reloading the settings failed; they stay unchanged.")


async def _drain_after_stop(stop, drain):
    await stop.wait()
    await drain()
    _logger.info("Drained.")
    # Any result but None ends the group.
    return True


async def _supervise_to_end(name, coroutine_function):
    # Return None: the group ends at the first other result, which is that of the drain.
    await supervise(name, coroutine_function)
