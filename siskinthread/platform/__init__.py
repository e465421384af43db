"""Adapter to the users' platform, and the daemons that run there.

No other package knows the platform's names.  Its settings file, store, documents and
headers are decoded here into the objects of the product; `main` runs the gateway.
``read_host_settings(text, source_name)`` checks a settings file of the platform, and
`TuningSettings` are the project's own settings.

The names are imported on first use, so that `main` can ignore SIGHUP before the imports
of the gateway.
"""

import importlib

from siskinthread._startup import ignore_reload_signal

__all__ = ["TuningSettings", "main", "read_host_settings"]

_MODULE_BY_NAME = {
    "TuningSettings": "siskinthread.platform._tuning",
    "read_host_settings": "siskinthread.platform._host_settings",
}


def __getattr__(name):
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)


def main(arguments=()):
    """Run the gateway.

    Parameters
    ----------
    arguments : sequence of str
        Empty, or the name of a file with `TuningSettings`.

    Returns
    -------
    int
        Exit status.
    """
    ignore_reload_signal()
    from siskinthread.platform._daemon import run_gateway

    return run_gateway(arguments)
