"""Print the shares of code lines: decisions, other code and tests."""

import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DECISIONS = (
    "routing",
    "admission",
    "dispatch",
    "membership",
    "configuration",
    "control",
    "ownership",
    "experts",
    "execution",
)
GENERATED = "_generated"


def main():
    """Count the lines of all tracked Python files and print the shares."""
    listing = subprocess.run(
        ["git", "ls-files", "*.py"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    counts = {"decisions": 0, "other code": 0, "tests": 0}
    for name in listing.stdout.split():
        if GENERATED in name:
            continue
        counts[_kind(name)] += len((ROOT / name).read_text().splitlines())
    total = sum(counts.values())
    for kind, lines in counts.items():
        print(f"{kind}: {lines} lines, {lines / total:.0%}")


def _kind(name):
    parts = Path(name).parts
    if "tests" in parts:
        return "tests"
    return "decisions" if parts[1:2] and parts[1] in DECISIONS else "other code"


if __name__ == "__main__":
    main()
