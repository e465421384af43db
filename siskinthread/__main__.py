"""Run the command line with ``python -m siskinthread``."""

import sys

from siskinthread.command_line import main

sys.exit(main())
