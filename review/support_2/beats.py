"""The entry of a server in the store, written at each interval."""

import threading
import time

from review.support_2 import harness

HEARTBEAT_S = 1.2


class Beats:
    """Beats of one start of a server.

    The sequence number rises with each beat; ``born`` is the time of the start.
    """

    def __init__(self, case, name, address):
        self._case = case
        self._name = name
        self._address = address
        self._sequence = 0
        self._ended = threading.Event()
        self.born = round(time.time() * 1000)
        self.state = "ready"
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def next(self):
        """Return the next entry."""
        self._sequence += 1
        return harness.entry(
            self._address, self.state, sequence=self._sequence, born=self.born
        )

    def write(self):
        """Write the next entry; return when the store has acknowledged it."""
        return self._case.append("keyed.servers", self._name, self.next())

    def end(self):
        """Write no more beats; return the number of the last one."""
        self._ended.set()
        self._thread.join()
        return self._sequence

    def _run(self):
        while not self._ended.is_set():
            self.write()
            self._ended.wait(HEARTBEAT_S)
