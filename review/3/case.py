"""A kept channel takes a new request late in a drain, and the request is cut."""

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

CLIENTS = 6
# Longer than `stable_window_ms`, so that all machines are in touch.
CALM_S = 4.0
SPREAD_S = 0.03
# The first stream begins this long before SIGTERM and has 68 events, 0.1 s apart; the
# second one follows on the same channel and has 30.
TERM_AFTER_S = 0.5
STREAMS = ("/stream/68", "/stream/30")


class Client(threading.Thread):
    """A client that sends one stream after the other on a kept channel."""

    def __init__(self, case, address, name):
        super().__init__(daemon=True)
        self._case = case
        self._channel = http.client.HTTPConnection(*address, timeout=12.0)
        self._name = name
        self.begin = threading.Event()
        self.results = []

    def run(self):
        """Send both streams, the second one if the channel is still open."""
        self._send(f"{self._name}-alert", "/alert/2f")
        self.begin.wait()
        for number, path in enumerate(STREAMS, 1):
            if not self._send(f"{self._name}-{number}", path):
                return

    def _send(self, request_id, path):
        """Send a request; return whether the channel may carry another one."""
        self._case.note(f"client sends {request_id} {path}")
        try:
            self._channel.request("POST", path, b"text", caller_headers(request_id))
            response = self._channel.getresponse()
            size = len(response.read())
            result = f"whole answer, status {response.status}, {size} bytes"
            is_kept = not response.will_close
        except (OSError, http.client.HTTPException) as error:
            result = f"no whole answer: {error!r}"
            is_kept = False
        self.results.append((request_id, result))
        text = "channel kept" if is_kept else "channel at its end"
        self._case.note(f"client got for {request_id}: {result}; {text}")
        # Otherwise the client would open a new channel by itself.
        return is_kept


def run(case):
    """Play the case."""
    case.start_store()
    case.publish_configuration(
        [
            route("/stream/", "streaming", resumable=True, target_gap_ms=120),
            route("/alert/", "unsafe", attempts=1),
        ]
    )
    records = [case.start_server(f"i-{number}")[2] for number in (1, 2, 3)]
    case.start_gateways(2)
    gateway = case.gateways[0]
    clients = [
        Client(case, gateway.front, f"client-{number}") for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
        time.sleep(SPREAD_S)
    time.sleep(CALM_S)
    for client in clients:
        client.begin.set()
        time.sleep(SPREAD_S)
    time.sleep(TERM_AFTER_S)
    if case.has_trouble:
        gateway.process.send_signal(signal.SIGTERM)
        case.note("gateway-1 gets SIGTERM")
    for client in clients:
        client.join()
    case.note_runs(records)
    results = [result for client in clients for result in client.results]
    lost = [name for name, text in results if not text.startswith("whole answer")]
    case.note(f"{len(lost)} of {len(results)} requests got no whole answer: {lost}")
    if any("status 200" not in client.results[1][1] for client in clients):
        return COULD_NOT_RUN
    return BROKEN if lost else HELD


if __name__ == "__main__":
    # With TROUBLE=0 the same is played without the disruption.
    run_case(__file__, run, os.environ.get("TROUBLE", "1") != "0")
