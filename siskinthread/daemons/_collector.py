"""Settings of Python's garbage collector for a process that relays streams."""

import gc

YOUNG_LIMIT = 20_000


def tune_collector():
    """Leave what was built so far out of collections, and collect more rarely.

    Notes
    -----
    At every 700 new objects, which is what the interpreter starts with, an entry with
    400 streams collects many times a second, and a full collection walks over all
    modules and metrics, which live as long as the process.  Relaying stands still
    meanwhile.  Reference counts free nearly everything here, so that few cycles wait
    for the larger limit.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_LIMIT)
