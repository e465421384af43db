"""A server is taken away at short notice, within an answer that has no length."""

import http.client
import signal
import threading
import time

from review.common import (
    BROKEN,
    caller_headers,
    COULD_NOT_RUN,
    entry,
    HELD,
    read_records,
    route,
    run_case,
)
from review.standins.server import line

CALM_S = 4.0
PARTS = 40
GAP_S = 0.1
SERVERS = 7
REQUESTS = 8
# From the start of the requests until the server reports that it is draining, and from
# there until it is gone.
NOTICE_AFTER_S = 0.5
GONE_AFTER_S = 2.0
WHOLE = b"".join(line(number) for number in range(1, PARTS + 1))


class Caller(threading.Thread):
    """A client that sends one request and reads its answer."""

    def __init__(self, case, address, request_id):
        super().__init__(daemon=True)
        self._case = case
        self._channel = http.client.HTTPConnection(*address, timeout=10.0)
        self.request_id = request_id
        self.status = None
        self.seal = None
        self.body = None

    def run(self):
        """Send the request."""
        self._case.note(f"client sends {self.request_id}")
        try:
            headers = caller_headers(self.request_id)
            self._channel.request("GET", "/list/2f", headers=headers)
            response = self._channel.getresponse()
            self.status = response.status
            self.seal = response.getheader("x-response-seal")
            self.body = response.read()
            text = f"status {self.status}, {len(self.body)} of {len(WHOLE)} bytes"
            length = response.getheader("content-length")
            text += f", seal {self.seal}, content-length {length}"
        except (OSError, http.client.HTTPException) as error:
            text = f"no whole answer: {error!r}"
            self.body = None
        self._case.note(f"client got for {self.request_id}: {text}")

    def is_wrong(self):
        """Return whether a success looked complete without the whole body."""
        return self.status == 200 and self.body is not None and self.body != WHOLE


def take_away(case, name, process, address):
    """Let a server report that it drains, and end it at the end of its notice."""
    case.publish("keyed.servers", name, entry(address, "draining", 2))
    case.note(f"the store has confirmed that {name} is draining")
    time.sleep(GONE_AFTER_S)
    process.send_signal(signal.SIGTERM)
    process.wait()
    case.publish("keyed.servers", name, None)
    case.note(f"server {name} is gone")


def run(case):
    """Play the case."""
    case.start_store()
    case.publish_configuration([route("/list/", "safe")])
    options = ("--parts", str(PARTS), "--gap-s", str(GAP_S))
    names = [f"i-{number}" for number in range(1, SERVERS + 1)]
    servers = {name: case.start_server(name, *options) for name in names}
    case.start_gateways(2)
    time.sleep(CALM_S)
    callers = []
    for number in range(REQUESTS):
        front = case.gateways[number % 2].front
        callers.append(Caller(case, front, f"list-{number}"))
        callers[-1].start()
        time.sleep(0.05)
    time.sleep(NOTICE_AFTER_S)
    busy = [name for name in names if read_records(servers[name][2])]
    if not busy:
        return COULD_NOT_RUN
    if case.has_trouble:
        take_away(case, busy[0], *servers[busy[0]][:2])
    for caller in callers:
        caller.join()
    case.note_runs([one[2] for one in servers.values()])
    wrong = [one.request_id for one in callers if one.is_wrong()]
    case.note(f"successes without the server's whole body: {wrong}")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    run_case(__file__, run)
