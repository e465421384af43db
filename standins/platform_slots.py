"""Stand-in of a server with a limited number of slots and a bounded queue."""

import time

import curio

from standins.platform_behaviours import answer_bytes, SEAL


class SlotService:
    """Behaviour of a server with slots and a queue.

    Parameters
    ----------
    slot_count, queue_limit : int
        Most requests that it runs at once, and that wait for a slot.
    service_s : float
        Time that each request takes, seconds.

    Attributes
    ----------
    served_count, declined_count : int
        Requests that it has served, and declined because its queue was full.
    held_s : float
        Time in which its slots were in use, seconds, summed over all slots.  What
        exceeds `service_s` per request is the lateness of the process at its timers.
    """

    def __init__(self, slot_count, queue_limit, service_s):
        self._slot_count = slot_count
        self._queue_limit = queue_limit
        self._service_s = service_s
        self._slots = curio.Semaphore(slot_count)
        self._present_count = 0
        self.served_count = 0
        self.declined_count = 0
        self.held_s = 0.0

    async def __call__(self, server, request, client):
        """Answer one request."""
        if self._present_count >= self._slot_count + self._queue_limit:
            self.declined_count += 1
            headers = ["X-Not-Executed: 1", self._load()]
            status = "503 Service Unavailable"
            await client.sendall(answer_bytes(request.request_id, status, b"", headers))
            return
        self._present_count += 1
        try:
            async with self._slots:
                began_s = time.monotonic()
                await curio.sleep(self._service_s)
                self.held_s += time.monotonic() - began_s
        finally:
            self._present_count -= 1
        self.served_count += 1
        headers = [f"X-Response-Seal: {SEAL}", self._load()]
        await client.sendall(answer_bytes(request.request_id, headers=headers))

    def as_json(self):
        """Return its counts as a JSON value."""
        return {
            "served_count": self.served_count,
            "declined_count": self.declined_count,
            "held_s": self.held_s,
        }

    def _load(self):
        running = min(self._present_count, self._slot_count)
        waiting = self._present_count - running
        return f"X-Server-Load: {running},{waiting},{self._slot_count}"
