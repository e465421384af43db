"""Command line for operators.

Interface: ``main(argv=None)`` returns the exit code: 0 for success, 2 for wrong usage
or an invalid file, 1 for any other failure.  Each group of subcommands is a separate
module with one `cappa` command class, which is listed in ``_root``.  A command returns
its exit code, or None for 0.  The problems of a `DocumentError` that it raises are
printed one per line as ``file:line:column: message``.
"""

from siskinthread.command_line._files import read_text
from siskinthread.command_line._main import main
from siskinthread.command_line._output import print_text

__all__ = ["main", "print_text", "read_text"]
