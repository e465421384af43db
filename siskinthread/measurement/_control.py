"""What control costs and how soon a change is in force everywhere, by number of nodes.

``python -m siskinthread.measurement._control`` prints it; ``--json`` as one object.
"""

import argparse
import json

import curio

from siskinthread.measurement._checkout import use_checkout
from siskinthread.measurement._control_figures import figures_of

SIZES = (25, 50, 100, 200)


def measure_control(sizes=SIZES, heartbeat_interval_s=None, host_list_interval_s=None):
    """Measure control with real nodes over loopback.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of nodes; each takes about a quarter of a minute.
    heartbeat_interval_s, host_list_interval_s : float or None
        In place of the daemons' defaults.

    Returns
    -------
    dict
        Plain values for JSON: the figures of each size and the estimate at the size to
        design for.

    Raises
    ------
    MeasurementError
        If the package does not lie in a checkout, or nodes did not come up in time.

    Notes
    -----
    Nodes run everything that a daemon runs but callers and targets, up to twenty in
    each process; the platform's stand-ins run in this process.  A change is in force
    sooner where each node has a core of its own.
    """
    use_checkout()
    # The checkout's stand-ins can be imported only now.
    from siskinthread.measurement._control_run import run_size

    intervals_s = (heartbeat_interval_s, host_list_interval_s)
    return figures_of([curio.run(run_size, size, intervals_s) for size in sizes])


def main():
    """Print the measurement."""
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
