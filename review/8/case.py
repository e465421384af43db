"""A beat that is carried out late brings back a server that has left."""

import os
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from review.support_2 import harness  # noqa: E402
from review.support_2.beats import Beats  # noqa: E402

# Whether the disruption of the case happens.
TROUBLE = os.environ["TROUBLE"] != "0"
LEAVING = "i-1"
# A write without an answer is "done 1 to 6 s later".
LATE_S = 5.9
# From the lost answer to the leaving; the store is stable after 3 s.
LEAVES_AFTER_S = 4.0
DRAIN_S = 2.0
ASKED_S = 4.0


def ask(case, front, left_s):
    """Send requests one after the other until some seconds after the leaving."""
    number = 0
    while time.monotonic() < left_s + ASKED_S:
        number += 1
        data = harness.request_bytes("GET", "/safe/x", f"q{number:03}")
        sent_s = time.monotonic()
        answer = harness.ask(front, data)
        case.note(f"q{number:03} sent {sent_s - left_s:.2f} s after it: {answer}")
        time.sleep(0.1)


def run(case):
    """Play the case; return whether the rule held."""
    case.start_store()
    routes = [harness.route("/safe/", "safe")]
    case.append("keyed.op", "config", harness.configuration(1, routes))
    addresses = {name: case.start_server(name)[1] for name in (LEAVING, "i-2")}
    beats = {name: Beats(case, name, one) for name, one in addresses.items()}
    _, front, _ = case.start_gateway()
    time.sleep(4.0)
    lost = beats[LEAVING].next()
    lost_at_s = time.monotonic()
    if TROUBLE:
        case.note(f"beat {lost['sequence']} of {LEAVING} gets no answer")
    time.sleep(LEAVES_AFTER_S)
    last = beats[LEAVING].end()
    left_s = case.append("keyed.servers", LEAVING, None)
    case.note(f"{LEAVING} has left after beat {last}, acknowledged by the store")
    client = threading.Thread(target=ask, args=(case, front, left_s))
    client.start()
    time.sleep(max(0.0, lost_at_s + LATE_S - time.monotonic()))
    if TROUBLE:
        case.append("keyed.servers", LEAVING, lost)
        case.note(f"the store carries out beat {lost['sequence']}, {LATE_S} s late")
    client.join()
    late = [
        one
        for one in case.runs(addresses[LEAVING])
        if one["ran"] and one["arrived_s"] > left_s + DRAIN_S
    ]
    for one in late:
        after_s = one["arrived_s"] - left_s
        case.note(f"DRAIN: {one['id']} reaches {LEAVING} {after_s:.2f} s after it")
    beats["i-2"].end()
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.play(Path(__file__).parent, run, TROUBLE))
