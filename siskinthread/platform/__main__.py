"""Run the gateway with ``python -m siskinthread.platform``."""

import sys

from siskinthread.platform import main

sys.exit(main())
