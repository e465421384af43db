"""Many callers of one process, and what that process occupies meanwhile."""

import itertools
import os
import selectors
import socket
import threading
import time

READ_SIZE_BYTES = 65_536
POLL_INTERVAL_S = 0.02
RECONNECT_PAUSE_S = 0.05
# Column of /proc/net/tcp with the local address, and that with the queue sizes.
LOCAL_COLUMN = 1
QUEUES_COLUMN = 4
KIBIBYTE = 1024


class Script:
    """What each caller of a crowd sends, and how it goes on.

    Parameters
    ----------
    first : bytes
        Sent once on each connection.
    repeated : bytes
        Sent after it.
    repeats : int or None
        How often; None without end.
    returns : bool
        Whether a caller whose connection is closed connects again.
    reset_after_s : float or None
        Time after which a caller resets its connection and connects again, seconds.
    reads : bool
        Whether callers read what they get.
    """

    __slots__ = ("first", "reads", "repeated", "repeats", "reset_after_s", "returns")

    def __init__(
        self,
        first,
        repeated=b"",
        repeats=0,
        returns=False,
        reset_after_s=None,
        reads=True,
    ):
        self.first = first
        self.repeated = repeated
        self.repeats = repeats
        self.returns = returns
        self.reset_after_s = reset_after_s
        self.reads = reads

    def pieces(self):
        """Return an iterator over what one connection sends."""
        if self.repeats is None:
            return itertools.chain([self.first], itertools.repeat(self.repeated))
        rest = itertools.repeat(self.repeated, self.repeats)
        return itertools.chain([self.first], rest)


class CrowdCaller:
    """One caller of a crowd.

    Parameters
    ----------
    address : tuple
        Address of the process.
    script : Script
        What it sends.
    """

    __slots__ = ("_address", "_opened_at_s", "_pending", "_pieces", "_script", "socket")

    def __init__(self, address, script):
        self._address = address
        self._script = script
        self._pending = None
        self._pieces = None
        self._opened_at_s = None
        self.socket = None

    def connect(self, selector):
        """Open a connection."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(self._address)
        self._pieces = self._script.pieces()
        self._pending = memoryview(next(self._pieces)) or None
        self._opened_at_s = time.monotonic()
        selector.register(self.socket, self._events(), self)

    def disconnect(self, selector, resets=False):
        """Close the connection, with a reset if asked for."""
        if self.socket is None:
            return
        selector.unregister(self.socket)
        if resets:
            linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.socket.close()
        self.socket = None

    def is_due_for_reset(self):
        """Return whether it is time to reset the connection."""
        limit_s = self._script.reset_after_s
        if limit_s is None or self.socket is None:
            return False
        return time.monotonic() - self._opened_at_s >= limit_s

    def serve(self, selector, events):
        """Send and read what is possible."""
        try:
            if events & selectors.EVENT_READ and not self._read():
                self.disconnect(selector)
                return
            if events & selectors.EVENT_WRITE:
                self._write()
        except BlockingIOError:
            return
        except OSError:
            self.disconnect(selector)
            return
        selector.modify(self.socket, self._events(), self)

    def _events(self):
        events = selectors.EVENT_READ if self._script.reads else 0
        if self._pending is not None:
            events |= selectors.EVENT_WRITE
        return events or selectors.EVENT_READ

    def _read(self):
        if not self._script.reads:
            # Only looks for the end, so that the answer stays unread.
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        return bool(self.socket.recv(READ_SIZE_BYTES))

    def _write(self):
        sent_bytes = self.socket.send(self._pending)
        self._pending = self._pending[sent_bytes:]
        if not self._pending:
            piece = next(self._pieces, None)
            self._pending = None if piece is None else memoryview(piece)


class Crowd(threading.Thread):
    """Callers that act at the same time; a context manager.

    Parameters
    ----------
    address : tuple
        Address of the process.
    script : Script
        What each caller sends.
    count : int
        Number of callers.
    """

    def __init__(self, address, script, count):
        super().__init__(daemon=True)
        self._callers = [CrowdCaller(address, script) for _ in range(count)]
        self._returns = script.returns or script.reset_after_s is not None
        self._stopped = threading.Event()

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *exception):
        self._stopped.set()
        self.join()

    def run(self):
        """Serve all callers until the crowd is stopped."""
        with selectors.DefaultSelector() as selector:
            for caller in self._callers:
                caller.connect(selector)
            look_at_s = 0.0
            while not self._stopped.is_set():
                for key, events in selector.select(POLL_INTERVAL_S):
                    key.data.serve(selector, events)
                if time.monotonic() >= look_at_s:
                    self._reconnect(selector)
                    look_at_s = time.monotonic() + RECONNECT_PAUSE_S
            for caller in self._callers:
                caller.disconnect(selector)

    def _reconnect(self, selector):
        if not self._returns:
            return
        for caller in self._callers:
            if caller.is_due_for_reset():
                caller.disconnect(selector, resets=True)
            if caller.socket is None:
                caller.connect(selector)


class Observer(threading.Thread):
    """Watches the memory and the descriptors of a process; a context manager.

    Parameters
    ----------
    pid : int
        Id of the process.
    ports : sequence of int
        TCP ports on which it listens.

    Attributes
    ----------
    most_bytes : int
        Largest sum of resident memory and of bytes that wait in the receive queues of
        the process's sockets.
    most_descriptors : int
        Largest number of open descriptors.
    """

    def __init__(self, pid, ports):
        super().__init__(daemon=True)
        self._pid = pid
        self._ports = {f"{port:04X}" for port in ports}
        self._stopped = threading.Event()
        self.most_bytes = 0
        self.most_descriptors = 0

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *exception):
        self._stopped.set()
        self.join()

    def run(self):
        """Sample until stopped or until the process has ended."""
        while not self._stopped.wait(POLL_INTERVAL_S):
            try:
                size_bytes = self._resident_bytes() + self._unread_bytes()
                count = len(os.listdir(f"/proc/{self._pid}/fd"))
            except (OSError, StopIteration):
                return
            self.most_bytes = max(self.most_bytes, size_bytes)
            self.most_descriptors = max(self.most_descriptors, count)

    def _resident_bytes(self):
        with open(f"/proc/{self._pid}/status") as status:
            line = next(line for line in status if line.startswith("VmRSS:"))
        return int(line.split()[1]) * KIBIBYTE

    def _unread_bytes(self):
        size_bytes = 0
        with open("/proc/net/tcp") as table:
            next(table)
            for line in table:
                columns = line.split()
                if columns[LOCAL_COLUMN].rpartition(":")[2] in self._ports:
                    size_bytes += int(columns[QUEUES_COLUMN].rpartition(":")[2], 16)
        return size_bytes
