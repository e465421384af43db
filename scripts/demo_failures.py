"""Execute all failure runs, or the runs that the command line names."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts._failures import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
