"""Finds the checkout whose stand-ins and scripts some measurements need."""

import sys
from pathlib import Path

import siskinthread
from siskinthread.errors import MeasurementError

NEEDED_FOLDERS = ("scripts", "standins")


def use_checkout(root=None):
    """Make the stand-ins and scripts of the checkout importable.

    They are not installed with the package, since no daemon needs them.

    Parameters
    ----------
    root : pathlib.Path or None
        Folder to look in; None for the one that the package lies in.

    Returns
    -------
    pathlib.Path
        The checkout.

    Raises
    ------
    MeasurementError
        If the package does not lie in a checkout.
    """
    root = root or Path(siskinthread.__file__).resolve().parent.parent
    missing = [name for name in NEEDED_FOLDERS if not (root / name).is_dir()]
    if missing:
        raise MeasurementError(
            "this measurement runs from a checkout of the repository only; "
            f"{' and '.join(missing)} not found in {root}"
        )
    if str(root) not in sys.path:
        sys.path.insert(0, str(root))
    return root
