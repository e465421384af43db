"""First steps of a program, before its imports.

This module imports nothing heavy: importing a daemon takes longer than half a second,
in which SIGHUP would have its default action and end the process.
"""

import signal
import sys

DAEMON_COMMANDS = frozenset({"entry", "agent"})


def ignore_reload_signal():
    """Ignore SIGHUP until the daemon handles it.

    The daemon reads its settings file later, so no change of the file is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def run_command_line():
    """Run the command line with the arguments of the process.

    Returns
    -------
    int
        Exit status of the process.
    """
    if DAEMON_COMMANDS.intersection(sys.argv[1:2]):
        ignore_reload_signal()
    from siskinthread.command_line import main

    return main()
