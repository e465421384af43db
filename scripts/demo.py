"""Run the demo of the complete system on loopback, as ``make demo`` does."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts._demo import main  # noqa: E402

sys.exit(main())
