"""Supervises the long-lived tasks of a daemon and waits for a stop signal."""

import contextlib
import signal
import socket

import curio
from curio import io

from siskinthread.errors import InvariantError
from siskinthread.observability import part_logger

FIRST_RESTART_WAIT_S = 0.1
LONGEST_RESTART_WAIT_S = 5.0
BACK_OFF_RESET_S = 30.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
WAKEUP_SIZE_BYTES = 64

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


async def wait_for_stop_signal(reload=None):
    """Wait for SIGTERM or SIGINT.

    Parameters
    ----------
    reload : callable or None
        Called at each SIGHUP; None keeps the default action of SIGHUP.

    Returns
    -------
    signal.Signals
        The stop signal received.

    Notes
    -----
    Must be called in the main thread.  While it waits, the interpreter writes the
    number of each signal to a socket that the event loop reads.  A Python signal
    handler that sets an event could run while the loop holds the lock of that event,
    and the process would hang when it is stopped.
    """
    reading, writing = socket.socketpair()
    writing.setblocking(False)
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(writing.close)
        previous_descriptor = signal.set_wakeup_fd(writing.fileno())
        cleanup.callback(signal.set_wakeup_fd, previous_descriptor)
        reload_signals = () if reload is None else (RELOAD_SIGNAL,)
        for number in (*STOP_SIGNALS, *reload_signals):
            previous_handler = signal.signal(number, _ignore_signal)
            cleanup.callback(signal.signal, number, previous_handler)
        async with io.Socket(reading) as wakeup:
            return await _first_stop_signal(wakeup, reload)


async def _first_stop_signal(wakeup, reload):
    while True:
        for number in await wakeup.recv(WAKEUP_SIZE_BYTES):
            if number == RELOAD_SIGNAL and reload is not None:
                reload()
            if number in STOP_SIGNALS:
                return signal.Signals(number)


def _ignore_signal(number, frame):
    """Do nothing; replaces the default action, which would end the process."""


async def run_until_stopped(tasks, drain, reload=None):
    """Supervise tasks until a stop signal, then drain and cancel the tasks.

    Parameters
    ----------
    tasks : dict of str to callable
        Coroutine functions without arguments, by name.
    drain : callable
        Coroutine function, called after the signal while the tasks still run.
    reload : callable or None
        Called at each SIGHUP; None keeps the default action of SIGHUP.

    Raises
    ------
    InvariantError
        If a task violated an invariant.
    """
    async with curio.TaskGroup(wait=object) as group:
        await group.spawn(_drain_after_signal, drain, reload)
        for name, coroutine_function in tasks.items():
            await group.spawn(_supervise_to_end, name, coroutine_function)
    if group.exception is not None:
        raise group.exception


async def _drain_after_signal(drain, reload):
    stop_signal = await wait_for_stop_signal(reload)
    _logger.info("Received %s; draining.", stop_signal.name)
    await drain()
    _logger.info("Drained.")
    return stop_signal


async def _supervise_to_end(name, coroutine_function):
    # Return None: the group ends at the first other result, which is the stop signal.
    await supervise(name, coroutine_function)
