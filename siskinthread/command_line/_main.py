"""The entry point of the command line."""

import sys

import cappa

from siskinthread.command_line._root import RootCommand
from siskinthread.errors import DocumentError, InvariantError, SiskinthreadError

FINE = 0
FAILED = 1
BAD_INPUT = 2


def main(argv=None):
    """Run one command.

    Parameters
    ----------
    argv : list of str or None
        Arguments without the program's name; None for those of the process.

    Returns
    -------
    int
        Exit code: 0 if all went well, 2 for wrong usage or a bad file, 1 for any other
        failure.
    """
    try:
        return cappa.invoke(RootCommand, argv=argv) or FINE
    except cappa.Exit as ended:
        return ended.code
    except DocumentError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return BAD_INPUT
    except InvariantError:
        # The process must stop with all that shows where the invariant broke.
        raise
    except SiskinthreadError as error:
        print(f"siskinthread: {error}", file=sys.stderr)
        return FAILED
