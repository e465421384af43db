"""Measurement of the cost of the path through entry and agent."""

import shutil
import sys
import tempfile
from pathlib import Path

import curio

from siskinthread.errors import MeasurementError
from siskinthread.measurement._checkout import use_checkout


def measure_path(quick=False, on_progress=None):
    """Measure the path from callers through one entry to engines, on this machine.

    Parameters
    ----------
    quick : bool
        Whether to measure fewer levels in about 50 s instead of two minutes.
    on_progress : callable or None
        Called with each line on the progress; None prints to standard error.

    Returns
    -------
    PathReport

    Raises
    ------
    MeasurementError
        If the package is not in a checkout of the repository, or a process fails.

    Notes
    -----
    All processes are started by this call and end with it.
    """
    use_checkout()
    from scripts._processes import interruptible, Processes, StartError
    from siskinthread.measurement._path_run import FULL_PLAN, PathRun, QUICK_PLAN

    folder = Path(tempfile.mkdtemp(prefix="siskinthread-path-"))
    plan = QUICK_PLAN if quick else FULL_PLAN
    try:
        with interruptible(), Processes(folder) as processes:
            run = PathRun(plan, processes, folder, on_progress or _print_progress)
            report = curio.run(run.run)
    except StartError as error:
        raise MeasurementError(f"{error}; logs are kept in {folder}") from error
    shutil.rmtree(folder)
    return report


def _print_progress(line):
    print(line, file=sys.stderr, flush=True)
