"""A short silence of the store after a change of the configuration."""

import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from review.support_2 import harness  # noqa: E402

# Whether the disruption of the case happens.
TROUBLE = os.environ["TROUBLE"] != "0"
ZONES = ("trondheim-a", "trondheim-b")
EPISODES = 6
# The silence begins so long after the first change, and lasts so long.
SILENT_AFTER_S = 0.35
SILENT_S = 0.5
# The second change follows so long after the silence; the store is stable again, and
# the machines are in touch, after STABLE_S.
STABLE_S = 3.0
CALM_S = 3.3
# Bounds of the deployment.
CONFIG_APPLY_S = 2.0
MARGIN_S = 0.1
ASKED_S = 1.5
START_S = 6.0


def publish(case, version, keys):
    """Publish a version with some API keys; return when it was confirmed."""
    routes = [harness.route("/safe/", "safe")]
    document = harness.configuration(version, routes, keys)
    confirmed_s = case.append("keyed.op", "config", document)
    case.note(f"version {version} confirmed, {len(keys)} keys")
    return confirmed_s


def ask(case, fronts, request_id, key, confirmed_s):
    """Send a request with a revoked key to each gateway; return how many run it."""
    run_count = 0
    for number, front in enumerate(fronts, 1):
        name = f"{request_id}-{number}"
        sent_s = time.monotonic()
        data = harness.request_bytes("GET", "/safe/x", name, key=key)
        answer = harness.ask(front, data)
        if answer.status != 401:
            run_count += answer.status == 200
            case.note(
                f"{name}: revoked key at gateway-{number}, sent "
                f"{sent_s - confirmed_s:.2f} s after the confirmation: {answer}"
            )
    return run_count


def run(case):
    """Play the case; return whether the rule held."""
    case.start_store()
    keys = [f"key{number:02}" for number in range(2 * EPISODES + 2)]
    version = 1
    publish(case, version, keys)
    for name in ("i-1", "i-2"):
        _, address = case.start_server(name)
        case.append("keyed.servers", name, harness.entry(address))
    fronts = [
        case.start_gateway(number, zone=zone, count=len(ZONES))[1]
        for number, zone in enumerate(ZONES, 1)
    ]
    time.sleep(START_S)
    broken = 0
    for episode in range(EPISODES):
        keys.pop()
        version += 1
        publish(case, version, keys)
        time.sleep(SILENT_AFTER_S)
        if TROUBLE:
            case.set_store(mode="silent")
        time.sleep(SILENT_S)
        if TROUBLE:
            case.set_store(mode="up")
            case.note(f"the store was silent for {SILENT_S} s")
        time.sleep(CALM_S)
        revoked = keys.pop()
        version += 1
        confirmed_s = publish(case, version, keys)
        time.sleep(CONFIG_APPLY_S + MARGIN_S)
        late = 0
        ends_s = time.monotonic() + ASKED_S
        count = 0
        while time.monotonic() < ends_s:
            count += 1
            late += ask(case, fronts, f"e{episode}-{count}", revoked, confirmed_s)
            time.sleep(0.25)
        broken += late
        case.note(f"episode {episode}: {late} requests run with a revoked key")
        # The next episode begins with reads of the configuration that are not stuck.
        time.sleep(2.0)
    case.note(f"CONFIG: {broken} requests with a revoked key ran, 2 s and later")
    return harness.BROKEN if broken else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.play(Path(__file__).parent, run, TROUBLE))
