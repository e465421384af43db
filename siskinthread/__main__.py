"""Run the command line with ``python -m siskinthread``."""

import sys

from siskinthread._startup import run_command_line

sys.exit(run_command_line())
