"""The operators' command line.

Interface: ``main(argv=None)`` returns the exit code: 0 if all went well, 2 for wrong
usage or a bad file, 1 for any other failure.  Each group of subcommands is a module of
its own that exports one `cappa` command class, listed in ``_root``.  A command returns
its exit code or None for 0; a `DocumentError` that it raises is printed one problem a
line, as ``file:line:column: message``.
"""

from siskinthread.command_line._files import read_text
from siskinthread.command_line._main import main
from siskinthread.command_line._output import print_text

__all__ = ["main", "print_text", "read_text"]
