"""Stop and reload signals of a daemon process."""

import signal
import socket

import curio
from curio import io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
HANDLED_SIGNALS = (*STOP_SIGNALS, RELOAD_SIGNAL)
WAKEUP_SIZE_BYTES = 64


class DaemonSignals:
    """Receives the signals of a daemon; an asynchronous context manager.

    Notes
    -----
    Must be entered in the main thread.  The signals stay without their default action
    until the process has ended, also after the context: a second SIGTERM, or SIGHUP
    while the process drains, would end it at once and cut off the requests in flight.
    The interpreter restores the default action of Python handlers when it shuts down,
    but not that of ignored signals.

    The interpreter writes the number of each signal to a socket that the event loop
    reads.  A Python signal handler that sets an event could run while the loop holds
    the lock of that event, and the process would hang.
    """

    __slots__ = ("_pending", "_previous_descriptor", "_wakeup", "_writing")

    def __init__(self):
        # Keys in order of arrival; equal signals are merged.  The handler records them
        # here because the interpreter drops numbers if the socket's buffer is full.
        self._pending = {}
        self._previous_descriptor = None
        self._wakeup = None
        self._writing = None

    async def __aenter__(self):
        reading, self._writing = socket.socketpair()
        self._writing.setblocking(False)
        self._wakeup = io.Socket(reading)
        self._previous_descriptor = signal.set_wakeup_fd(
            self._writing.fileno(), warn_on_full_buffer=False
        )
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._record)
        return self

    async def __aexit__(self, *exception):
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(self._previous_descriptor)
        self._writing.close()
        await self._wakeup.close()

    async def next(self):
        """Wait for a signal.

        Returns
        -------
        signal.Signals
            One of `HANDLED_SIGNALS`.
        """
        while not self._pending:
            await self._wakeup.recv(WAKEUP_SIZE_BYTES)
            # A signal that another thread received is recorded only after this thread
            # has polled once more.
            await curio.sleep(0)
        number = next(iter(self._pending))
        del self._pending[number]
        return signal.Signals(number)

    def _record(self, number, frame):
        self._pending[number] = None
