"""Run the failure runs, all or the ones that are named on the command line."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts._failures import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
