"""An entry of another writer, whose address can't be read, and then a server leaves."""

import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from review.support_2 import harness  # noqa: E402

# Digits after the colon of an address that is none; the record has 5 KB of 256 KB.
DIGITS = 5000
IN_TOUCH_S = 4.0
DRAIN_S = 2.0
ASKED_S = 2.5
LEAVING = "i-1"


def run(case):
    """Play the case; return whether the rule held."""
    case.start_store()
    routes = [harness.route("/safe/", "safe")]
    case.append("keyed.op", "config", harness.configuration(1, routes))
    servers = {name: case.start_server(name)[1] for name in (LEAVING, "i-2")}
    for name, address in servers.items():
        case.append("keyed.servers", name, harness.entry(address))
    _, front, _ = case.start_gateway()
    time.sleep(IN_TOUCH_S)
    if harness.trouble():
        foreign = harness.entry(("127.0.0.1", "8" * DIGITS))
        case.append("keyed.servers", "noted-by-another-writer", foreign)
        case.note(f"another writer's entry, its address has {DIGITS} digits")
    time.sleep(2.0)
    draining = harness.entry(servers[LEAVING], state="draining", sequence=2)
    drained_s = case.append("keyed.servers", LEAVING, draining)
    case.note(f"{LEAVING} has reported that it drains, acknowledged by the store")
    time.sleep(DRAIN_S)
    number = 0
    while time.monotonic() < drained_s + DRAIN_S + ASKED_S:
        number += 1
        data = harness.request_bytes("GET", "/safe/x", f"q{number:03}")
        sent_s = time.monotonic()
        answer = harness.ask(front, data)
        case.note(f"q{number:03} sent {sent_s - drained_s:.2f} s after it: {answer}")
        time.sleep(0.1)
    late = [
        one
        for one in case.runs(servers[LEAVING])
        if one["ran"] and one["arrived_s"] > drained_s + DRAIN_S
    ]
    for one in late:
        after_s = one["arrived_s"] - drained_s
        case.note(f"DRAIN: {one['id']} reaches {LEAVING} {after_s:.2f} s after it")
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.play(Path(__file__).parent, run))
