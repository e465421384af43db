"""Pages made from the code agree with it."""

from pathlib import Path

import pytest

from siskinthread.daemons import AgentSettings, EntrySettings
from siskinthread.settings import render_example

FOLDER = Path(__file__).resolve().parents[2] / "docs" / "operators"


@pytest.mark.parametrize(
    ("name", "section"), [("entry", EntrySettings), ("agent", AgentSettings)]
)
def test_settings_page_is_up_to_date(name, section):
    """The page of settings is what ``make pages`` writes."""
    page = (FOLDER / f"settings-{name}.json5").read_text()
    assert page == render_example(section)
