"""Run the gateway with ``python -m siskinthread.platform [SETTINGS]``."""

import sys

from siskinthread.platform import main

sys.exit(main(sys.argv[1:]))
