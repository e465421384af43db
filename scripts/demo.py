"""Run the demo of the whole system on loopback; started by ``make demo``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts._demo import main  # noqa: E402

sys.exit(main())
