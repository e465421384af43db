"""Printing of results to standard output."""

import os
import sys


def print_text(text):
    """Print the result of a command.

    Parameters
    ----------
    text : str
        Text, including line ends.

    Notes
    -----
    A reader such as ``head`` may close the pipe before the whole text is written.  The
    write then fails, and the flush at the exit of the process would fail too and print
    a traceback, although this is no error.  Standard output is therefore redirected to
    the null device.
    """
    try:
        print(text, end="", flush=True)
    except BrokenPipeError:
        null_device = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null_device, sys.stdout.fileno())
        os.close(null_device)
