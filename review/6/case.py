"""The last tenant of a deployment loses its key."""

import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from review.support_2 import harness  # noqa: E402

# Whether the disruption of the case happens.
TROUBLE = os.environ["TROUBLE"] != "0"
KEY = harness.KEY
FOREIGN_KEY = "qqqqqqqqqqqqqqqqqqqq"
IN_TOUCH_S = 4.0
CONFIG_APPLY_S = 2.0
REQUESTS = 10
ROUTES = (
    harness.route("/safe/", "safe"),
    harness.route("/unsafe/", "unsafe", attempts=1),
)


def publish(case, version, has_key):
    """Publish a version; return when it was confirmed."""
    document = harness.configuration(version, list(ROUTES), [KEY])
    if not has_key:
        document["tenants"] = []
    confirmed_s = case.append("keyed.op", "config", document)
    case.note(f"version {version} confirmed, tenants: {document['tenants']}")
    return confirmed_s


def ask(case, front, name, method, path, key):
    """Send a request; return its status."""
    data = harness.request_bytes(method, path, name, key=key)
    answer = harness.ask(front, data)
    case.note(f"{name}: {method} {path} with key {key}: {answer}")
    return answer.status


def run(case):
    """Play the case; return whether the rule held."""
    case.start_store()
    publish(case, 1, has_key=True)
    servers = {name: case.start_server(name)[1] for name in ("i-1", "i-2")}
    for name, address in servers.items():
        case.append("keyed.servers", name, harness.entry(address))
    _, front, _ = case.start_gateway()
    time.sleep(IN_TOUCH_S)
    first = [
        ask(case, front, "before-held", "GET", "/safe/x", KEY),
        ask(case, front, "before-foreign", "GET", "/safe/x", FOREIGN_KEY),
    ]
    if first != [200, 401]:
        return harness.NOT_RUN
    # Without the disruption, the same version is published with the key in it.
    confirmed_s = publish(case, 2, has_key=not TROUBLE)
    time.sleep(max(0.0, confirmed_s + CONFIG_APPLY_S + 0.5 - time.monotonic()))
    for number in range(REQUESTS):
        key = KEY if number % 2 else FOREIGN_KEY
        if not TROUBLE and key == KEY:
            continue
        ask(case, front, f"safe-{number}", "GET", "/safe/x", key)
        ask(case, front, f"unsafe-{number}", "POST", "/unsafe/x", key)
    ran = [
        one
        for address in servers.values()
        for one in case.runs(address)
        if one["ran"] and not one["id"].startswith("before")
    ]
    for one in ran:
        case.note(f"a server ran {one['id']}, X-Tenant: {one['tenant']}")
    case.note(f"CONFIG, ROUTE: {len(ran)} requests without a valid key ran")
    return harness.BROKEN if ran else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.play(Path(__file__).parent, run, TROUBLE))
