"""Entry point of the command line."""

import sys

import cappa

from siskinthread.command_line._root import RootCommand
from siskinthread.errors import DocumentError, InvariantError, SiskinthreadError

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2


def main(argv=None):
    """Run one command.

    Parameters
    ----------
    argv : list of str or None
        Arguments without the name of the program; None for those of the process.

    Returns
    -------
    int
        Exit code: 0 for success, 2 for wrong usage or an invalid file, 1 for any other
        failure.
    """
    try:
        return cappa.invoke(RootCommand, argv=argv) or EXIT_SUCCESS
    except cappa.Exit as ended:
        return ended.code
    except DocumentError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return EXIT_BAD_INPUT
    except InvariantError:
        # The process must end with a traceback that shows where the invariant broke.
        raise
    except SiskinthreadError as error:
        print(f"siskinthread: {error}", file=sys.stderr)
        return EXIT_FAILURE
