"""Measures what the path through entry and agent costs."""

import shutil
import sys
import tempfile
from pathlib import Path

import curio

from siskinthread.errors import MeasurementError
from siskinthread.measurement._checkout import use_checkout


def measure_path(quick=False, say=None):
    """Measure the path from callers over one entry to engines, on this machine.

    Parameters
    ----------
    quick : bool
        Whether to measure for about 50 s and fewer levels instead of two minutes.
    say : callable or None
        Takes a line on the progress; None prints it to the standard error.

    Returns
    -------
    PathReport

    Raises
    ------
    MeasurementError
        Outside a checkout of the repository, or if a process fails.

    Notes
    -----
    The processes are started here and end with this call.
    """
    use_checkout()
    from scripts._processes import interruptible, Processes, StartError
    from siskinthread.measurement._path_run import FULL_PLAN, PathRun, QUICK_PLAN

    folder = Path(tempfile.mkdtemp(prefix="siskinthread-path-"))
    plan = QUICK_PLAN if quick else FULL_PLAN
    try:
        with interruptible(), Processes(folder) as processes:
            run = PathRun(plan, processes, folder, say or _print_progress)
            report = curio.run(run.run)
    except StartError as error:
        raise MeasurementError(f"{error}; logs are kept in {folder}") from error
    shutil.rmtree(folder)
    return report


def _print_progress(line):
    print(line, file=sys.stderr, flush=True)
