"""Write the pages that are generated from the code: the settings of both daemons."""

from pathlib import Path

from siskinthread.daemons import AgentSettings, EntrySettings
from siskinthread.settings import render_example

FOLDER = Path(__file__).resolve().parent.parent / "docs" / "operators"


def main():
    """Write a commented example of the settings of each daemon."""
    for name, section in (("entry", EntrySettings), ("agent", AgentSettings)):
        (FOLDER / f"settings-{name}.json5").write_text(render_example(section))


if __name__ == "__main__":
    main()
