"""Starts processes, waits for their addresses and ends exactly these processes."""

import contextlib
import os
import selectors
import signal
import socket
import subprocess
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FIRST_PORT = 10_000
PORT_SPREAD = 200
PORTS_EACH = 100
LISTENING = "listening "
START_WAIT_S = 10.0
END_WAIT_S = 3.0
POLL_INTERVAL_S = 0.02


class StartError(Exception):
    """A process did not start, did not become ready or did not answer."""


class Interrupted(BaseException):
    """The script got a stop signal; not caught by handlers of `Exception`."""


class StartedProcess:
    """A process that this script started.

    Parameters
    ----------
    name : str
        Name for messages and for the log file.
    popen : subprocess.Popen
        The process.
    log_path : pathlib.Path
        Log file of its standard error.
    """

    __slots__ = ("_popen", "log_path", "name")

    def __init__(self, name, popen, log_path):
        self.name = name
        self._popen = popen
        self.log_path = log_path

    @property
    def pid(self):
        """Process id."""
        return self._popen.pid

    @property
    def states_address(self):
        """Whether the process prints its address to a pipe."""
        return self._popen.stdout is not None

    def running(self):
        """Return whether the process has not ended."""
        return self._popen.poll() is None

    @property
    def exit_status(self):
        """Exit status, negative for a signal, or None while it runs."""
        return self._popen.poll()

    def wait(self):
        """Wait until the process has ended."""
        self._popen.wait()

    def send_signal(self, number):
        """Send a signal, unless the process has ended.

        Notes
        -----
        The id of an ended process is not reused until this script has waited for the
        process, so the signal can't reach another process with the same id.
        """
        self._popen.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.send_signal(signal.SIGKILL)

    def freeze(self):
        """Stop the process without ending it."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Resume a frozen process."""
        self.send_signal(signal.SIGCONT)

    def log_tail(self):
        """Return the path and the last line of its log file."""
        lines = self.log_path.read_text(errors="replace").strip().splitlines()
        return f"{self.log_path}: {lines[-1] if lines else 'empty'}"

    def read_address(self):
        """Wait for the line ``listening HOST:PORT`` and return host and port."""
        deadline_s = time.monotonic() + START_WAIT_S
        line = _read_line(self._popen.stdout, deadline_s)
        if not line.startswith(LISTENING):
            raise StartError(f"{self.name} said {line!r}; see {self.log_path}")
        host, _, port = line.removeprefix(LISTENING).strip().rpartition(":")
        return host, int(port)


class _Interruption:
    """Turns the first stop signal into `Interrupted` and ignores later ones.

    Notes
    -----
    While a process is being started the signal is deferred.  An exception between the
    start and the recording of a process would leave that process running unnoticed.
    """

    __slots__ = ("_held", "_received")

    def __init__(self):
        self._held = False
        self._received = None

    def handle(self, number, frame):
        """Handle a signal."""
        if self._received is not None:
            return
        self._received = signal.Signals(number)
        if not self._held:
            raise Interrupted(self._received.name)

    @contextlib.contextmanager
    def hold(self):
        """Defer a signal until the block ends."""
        received_before = self._received
        self._held = True
        try:
            yield
        finally:
            self._held = False
        if self._received is not received_before:
            raise Interrupted(self._received.name)


_INTERRUPTION = _Interruption()


class Processes:
    """Processes of a run; a context manager that ends all of them.

    Parameters
    ----------
    log_folder : pathlib.Path
        Folder for the processes' standard error.

    Attributes
    ----------
    forced : list of str
        Names of processes that did not exit in time after SIGTERM and were killed.
    """

    __slots__ = ("_log_folder", "_started", "forced")

    def __init__(self, log_folder):
        self._log_folder = log_folder
        self._started = []
        self.forced = []

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.end_all()

    def start(self, name, arguments, states_address=False):
        """Start a process and return its `StartedProcess` at once.

        Parameters
        ----------
        name : str
            Name for messages and for the log file.
        arguments : list of str
            Program and arguments.
        states_address : bool
            Whether its output is read by `StartedProcess.read_address`; otherwise, it
            goes to the log file.
        """
        log_path = self._log_folder / f"{name}.log"
        with log_path.open("ab") as log_file, _INTERRUPTION.hold():
            # In a process group of its own the process gets no Ctrl-C of the terminal,
            # so this script alone determines the order in which processes end.
            popen = subprocess.Popen(
                arguments,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if states_address else log_file,
                stderr=log_file,
                cwd=ROOT,
                process_group=0,
            )
            process = StartedProcess(name, popen, log_path)
            self._started.append(process)
        return process

    def end(self, processes):
        """End the given processes, including frozen processes."""
        running = [process for process in processes if process.running()]
        for process in running:
            process.send_signal(signal.SIGTERM)
            process.thaw()
        deadline_s = time.monotonic() + END_WAIT_S
        while time.monotonic() < deadline_s:
            if not any(process.running() for process in running):
                return
            time.sleep(POLL_INTERVAL_S)
        for process in running:
            if process.running():
                self.forced.append(process.name)
                process.kill()
                process.wait()

    def end_all(self):
        """End all running processes; processes that state an address come last.

        The stand-ins state addresses.  If they ended before the daemons, the daemons
        would log errors that are no defects.
        """
        self.end([process for process in self._started if not process.states_address])
        self.end(self._started)


@contextlib.contextmanager
def interruptible():
    """Raise `Interrupted` in the main thread on the first SIGINT, SIGTERM or SIGHUP.

    Later signals are ignored, so that they can't interrupt the end of the processes.
    SIGHUP stays ignored under ``nohup``.
    """
    numbers = [signal.SIGINT, signal.SIGTERM]
    if signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN:
        numbers.append(signal.SIGHUP)
    previous = {
        number: signal.signal(number, _INTERRUPTION.handle) for number in numbers
    }
    try:
        yield
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


def free_ports(count):
    """Return TCP ports that were free at the loopback address just now.

    Notes
    -----
    All ports are bound while they are searched, so that none is returned twice.  They
    are below the kernel's range of ephemeral ports, so that no outgoing connection can
    occupy a port before its process listens.
    """
    with contextlib.ExitStack() as held:
        ports = []
        candidate = FIRST_PORT + os.getpid() % PORT_SPREAD * PORTS_EACH
        while len(ports) < count:
            candidate += 1
            listener = held.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                listener.bind(("127.0.0.1", candidate))
                ports.append(candidate)
        return ports


def _read_line(pipe, deadline_s):
    """Return the first line of a pipe, or its part received before the deadline."""
    data = b""
    with selectors.DefaultSelector() as selector:
        selector.register(pipe, selectors.EVENT_READ)
        while not data.endswith(b"\n"):
            left_s = deadline_s - time.monotonic()
            if left_s <= 0 or not selector.select(left_s):
                break
            byte = os.read(pipe.fileno(), 1)
            if not byte:
                break
            data += byte
    return data.decode("utf-8", "replace")
