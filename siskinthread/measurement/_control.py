"""Cost of control and propagation time of changes, by number of nodes.

``python -m siskinthread.measurement._control`` prints the result; with ``--json`` on
one line.
"""

import argparse
import json

import curio

from siskinthread.measurement._checkout import use_checkout
from siskinthread.measurement._control_figures import figures_of

SIZES = (25, 50, 100, 200)


def measure_control(sizes=SIZES, heartbeat_interval_s=None, host_list_interval_s=None):
    """Measure control with real nodes that communicate over loopback.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of nodes to measure, about 15 s for each.
    heartbeat_interval_s, host_list_interval_s : float or None
        Intervals that replace the defaults of the daemons.

    Returns
    -------
    dict
        Values for JSON: the figures of each size, and the estimate at the design size.

    Raises
    ------
    MeasurementError
        If the package is not in a checkout, or the nodes do not start in time.

    Notes
    -----
    A node runs a daemon without callers and targets.  Up to twenty nodes share a
    process, and the stand-ins of the platform run in this process.  Changes take effect
    faster where each node has a core of its own.
    """
    use_checkout()
    # Imports the stand-ins, which `use_checkout` makes importable.
    from siskinthread.measurement._control_run import run_size

    intervals_s = (heartbeat_interval_s, host_list_interval_s)
    return figures_of([curio.run(run_size, size, intervals_s) for size in sizes])


def main():
    """Run the measurement and print its result."""
    parser = argparse.ArgumentParser(description="measure the cost of control")
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--heartbeat-interval-s", type=float)
    parser.add_argument("--host-list-interval-s", type=float)
    options = parser.parse_args()
    sizes = tuple(int(size) for size in options.sizes.split(","))
    result = measure_control(
        sizes, options.heartbeat_interval_s, options.host_list_interval_s
    )
    print(json.dumps(result, indent=None if options.json else 2))


if __name__ == "__main__":
    main()
