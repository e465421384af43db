"""Results on the standard output."""

import os
import sys


def print_text(text):
    """Print the result of a command.

    Parameters
    ----------
    text : str
        Text with its line ends.

    Notes
    -----
    A reader such as ``head`` ends before all is written.  The write then fails, and so
    would the flush at the end of the process, with a traceback for what is no error.
    The rest goes to the null device instead.
    """
    try:
        print(text, end="", flush=True)
    except BrokenPipeError:
        null_device = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null_device, sys.stdout.fileno())
        os.close(null_device)
