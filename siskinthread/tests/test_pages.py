"""Generated documentation pages match the code that generates them."""

from pathlib import Path

import pytest

from siskinthread.daemons import AgentSettings, EntrySettings
from siskinthread.settings import render_example

SETTINGS_PAGES_PATH = Path(__file__).resolve().parents[2] / "docs" / "operators"


@pytest.mark.parametrize(
    ("name", "section"), [("entry", EntrySettings), ("agent", AgentSettings)]
)
def test_settings_page_is_up_to_date(name, section):
    """The committed settings page equals the output of ``make pages``."""
    page = (SETTINGS_PAGES_PATH / f"settings-{name}.json5").read_text()
    assert page == render_example(section)
