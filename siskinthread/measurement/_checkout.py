"""Access to the stand-ins and scripts of the checkout, for some measurements."""

import sys
from pathlib import Path

import siskinthread
from siskinthread.errors import MeasurementError

NEEDED_FOLDERS = ("scripts", "standins")


def use_checkout(root=None):
    """Make the stand-ins and scripts of the checkout importable.

    They are not part of the installed package, as no daemon needs them.

    Parameters
    ----------
    root : pathlib.Path or None
        Root folder of the checkout; None for the folder that contains the package.

    Returns
    -------
    pathlib.Path
        Root folder of the checkout.

    Raises
    ------
    MeasurementError
        If the folder is not a checkout.
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
