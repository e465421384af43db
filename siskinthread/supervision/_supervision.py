"""Keeps the long-lived tasks of a daemon running, and waits for a stop signal."""

import contextlib
import signal
import socket

import curio
from curio import io

from siskinthread.errors import InvariantError
from siskinthread.observability import part_logger

FIRST_RESTART_WAIT_S = 0.1
LONGEST_RESTART_WAIT_S = 5.0
SETTLED_AFTER_S = 30.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
WAKEUP_SIZE_BYTES = 64

_logger = part_logger("daemons")


async def supervise(name, coroutine_function, *arguments):
    """Run a coroutine function, again and again if it dies of an error.

    Parameters
    ----------
    name : str
        Name for the log.
    coroutine_function : callable
        It is called anew for every run.
    *arguments
        Its arguments.

    Returns
    -------
    object
        What the coroutine function returned; a run that returns is not repeated.

    Raises
    ------
    InvariantError
        Passed on at once: the state can't be trusted any more.

    Notes
    -----
    Any other error in one task, such as an answer of the platform that nobody foresaw,
    would end that task silently and the process would go on without it: the
    configuration would stop moving, or links would not be replaced.  It is logged with
    its traceback and the task starts again after a wait that doubles, so that a lasting
    fault costs little.
    """
    wait_s = FIRST_RESTART_WAIT_S
    while True:
        started_at_s = await curio.clock()
        try:
            return await coroutine_function(*arguments)
        except InvariantError:
            _logger.critical("Task %s broke an invariant.", name, exc_info=True)
            raise
        except (Exception, curio.TaskTimeout):
            _logger.exception("Task %s failed and starts again.", name)
        if await curio.clock() - started_at_s > SETTLED_AFTER_S:
            wait_s = FIRST_RESTART_WAIT_S
        await curio.sleep(wait_s)
        wait_s = min(2 * wait_s, LONGEST_RESTART_WAIT_S)


async def wait_for_stop_signal(reload=None):
    """Wait for SIGTERM or SIGINT.

    Parameters
    ----------
    reload : callable or None
        Called at each SIGHUP, which otherwise keeps its default action.

    Returns
    -------
    signal.Signals

    Notes
    -----
    Call it in the main thread.  While it waits, the interpreter writes each signal's
    number to a socket that the event loop watches.  A Python handler that set an event
    instead could run while the loop itself holds that event's lock, and the process
    would hang at its stop.
    """
    reading, writing = socket.socketpair()
    writing.setblocking(False)
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(writing.close)
        previous_descriptor = signal.set_wakeup_fd(writing.fileno())
        cleanup.callback(signal.set_wakeup_fd, previous_descriptor)
        reload_signals = () if reload is None else (RELOAD_SIGNAL,)
        for number in (*STOP_SIGNALS, *reload_signals):
            previous_handler = signal.signal(number, _leave_to_the_socket)
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


def _leave_to_the_socket(number, frame):
    """Replace the default action, which would end the process."""


async def run_until_stopped(tasks, drain, reload=None):
    """Supervise tasks until a stop signal, then drain and cancel them.

    Parameters
    ----------
    tasks : dict of str to callable
        Coroutine functions without arguments, by name.
    drain : callable
        Coroutine function that is called after the signal while the tasks still run.
    reload : callable or None
        Called at each SIGHUP.

    Raises
    ------
    InvariantError
        If a task broke an invariant.
    """
    async with curio.TaskGroup(wait=object) as group:
        await group.spawn(_drain_after_signal, drain, reload)
        for name, coroutine_function in tasks.items():
            await group.spawn(_supervise_to_end, name, coroutine_function)
    if group.exception is not None:
        raise group.exception


async def _drain_after_signal(drain, reload):
    stop_signal = await wait_for_stop_signal(reload)
    _logger.info("Got %s and drains.", stop_signal.name)
    await drain()
    _logger.info("Drained.")
    return stop_signal


async def _supervise_to_end(name, coroutine_function):
    # The group ends at the first result other than None, which is the stop signal.
    await supervise(name, coroutine_function)
