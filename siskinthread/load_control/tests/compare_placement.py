"""Prints the outcome of each placement method; run as a module, with host counts."""

import sys

from siskinthread.gateway import RequestKind
from siskinthread.load_control.tests.speed_replay import (
    four_times_slower,
    METHODS,
    play,
    slow_when_nearly_full,
    twelve_times_slower_for_9_s,
    typical,
)

CASES = {
    "equal": ((typical, typical, typical), (1, 1, 1), {}),
    "four": ((typical, typical, four_times_slower), (1, 1, 0.25), {}),
    "twelve": ((typical, typical, twelve_times_slower_for_9_s), (1, 1, 0.41), {}),
    "failing": ((typical, typical, typical), (1, 1, 1), {"failing": {2: 0.1}}),
    "failing once": (
        (typical, typical, typical),
        (1, 1, 1),
        {"failing": {2: 0.1}, "request_kind": RequestKind.ONCE},
    ),
    "nearly full": ((typical, typical, slow_when_nearly_full), (1, 1, 0.67), {}),
}
SIZES = {"22 ms": (0.022, 0.15, 18 / 0.022), "60 ms": (0.06, 0.3, 18 / 0.06)}


def main(host_counts, names, sizes):
    """Compare the methods in each case."""
    for name in names:
        slowness, speeds, shape = CASES[name]
        for size in sizes:
            service_s, objective_s, full_per_s = SIZES[size]
            for load in (0.3, 0.45):
                for host_count in host_counts:
                    for method in METHODS if name != "equal" else ("load", "kept"):
                        outcome = play(
                            method,
                            slowness,
                            full_per_s * load,
                            speeds,
                            host_count,
                            service_s=service_s,
                            objective_s=objective_s,
                            **shape,
                        )
                        print(name, size, load, host_count, method, outcome, flush=True)


if __name__ == "__main__":
    main(
        [int(one) for one in sys.argv[1].split(",")],
        sys.argv[2].split(",") if len(sys.argv) > 2 else list(CASES),
        sys.argv[3].split(",") if len(sys.argv) > 3 else list(SIZES),
    )
