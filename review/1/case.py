"""SIGHUP while a gateway drains after SIGTERM: its requests must be finished."""

import http.client
import os
import signal
import threading
import time

from review.common import (
    BROKEN,
    caller_headers,
    COULD_NOT_RUN,
    HELD,
    route,
    run_case,
)

STREAM_COUNT = 8
UNSAFE_COUNT = 4
# Longer than `stable_window_ms`, so that all machines are in touch.
CALM_S = 4.0
# Between the second requests of two clients.
SPREAD_S = 0.03
# From the start of the requests to SIGTERM, and from there to SIGHUP.
TERM_AFTER_S = 0.5
HUP_AFTER_S = 0.7
END_WAIT_S = 1.0


class Caller(threading.Thread):
    """A client with a kept channel, which sends two requests on it.

    Parameters
    ----------
    case : Case
        Receives what was sent and answered.
    address : tuple
        Address of the gateway.
    name, path : str
        Id and path of its second request.

    Attributes
    ----------
    begin : threading.Event
        Set when the second request is to be sent.
    """

    def __init__(self, case, address, name, path):
        super().__init__(daemon=True)
        self._case = case
        self._channel = http.client.HTTPConnection(*address, timeout=10.0)
        self._path = path
        self.begin = threading.Event()
        self.request_id = name
        self.is_kept = False
        self.result = None

    def run(self):
        """Send both requests."""
        status, _ = self._send(f"{self.request_id}-first", "/alert/2f")
        self.is_kept = status == 200 and self._channel.sock is not None
        self.begin.wait()
        self._case.note(f"client sends {self.request_id} {self._path}")
        try:
            status, body = self._send(self.request_id, self._path)
            self.result = f"whole answer, status {status}, {len(body)} bytes"
        except (OSError, http.client.HTTPException) as error:
            self.result = f"no whole answer: {error!r}"
        self._case.note(f"client got for {self.request_id}: {self.result}")

    def _send(self, request_id, path):
        self._channel.request("POST", path, b"text", caller_headers(request_id))
        response = self._channel.getresponse()
        return response.status, response.read()


def run(case):
    """Play the case."""
    case.start_store()
    case.publish_configuration(
        [
            route("/stream/", "streaming", resumable=True, target_gap_ms=120),
            route("/alert/", "unsafe", attempts=1),
            route("/slow/", "unsafe", attempts=1),
        ]
    )
    records = [case.start_server(f"i-{number}")[2] for number in (1, 2, 3)]
    case.start_gateways(2)
    gateway = case.gateways[0]
    callers = [
        Caller(case, gateway.front, f"stream-{number}", "/stream/2f")
        for number in range(STREAM_COUNT)
    ]
    callers += [
        Caller(case, gateway.front, f"slow-{number}", "/slow/2f")
        for number in range(UNSAFE_COUNT)
    ]
    for caller in callers:
        caller.start()
        time.sleep(0.1)
    time.sleep(CALM_S)
    if not all(caller.is_kept for caller in callers):
        return COULD_NOT_RUN
    for caller in callers:
        caller.begin.set()
        time.sleep(SPREAD_S)
    time.sleep(TERM_AFTER_S)
    gateway.process.send_signal(signal.SIGTERM)
    case.note("gateway-1 gets SIGTERM")
    time.sleep(HUP_AFTER_S)
    if case.has_trouble:
        case.change_settings(gateway)
        gateway.process.send_signal(signal.SIGHUP)
        case.note("the settings of gateway-1 change, and it gets SIGHUP")
    for caller in callers:
        caller.join()
    time.sleep(END_WAIT_S)
    status = gateway.process.exit_status
    case.note(f"exit status of gateway-1: {status}; a negative one names a signal")
    lost = [one for one in callers if not one.result.startswith("whole answer")]
    case.note(f"{len(lost)} of {len(callers)} requests got no whole answer")
    case.note_runs(records)
    return BROKEN if lost else HELD


if __name__ == "__main__":
    # With TROUBLE=0 the same is played without the disruption.
    run_case(__file__, run, os.environ.get("TROUBLE", "1") != "0")
