"""Tests of the audit command of operators."""

import pytest

from siskinthread.audit import parse_since
from siskinthread.audit.tests.days import Publications
from siskinthread.command_line import main
from siskinthread.ownership._records import Claim, encode_claim
from siskinthread.ownership.tests.fakes import FakeLogs
from siskinthread.timing import ManualClock


@pytest.mark.parametrize(
    ("text", "expected_ms"),
    [
        ("2h", 100_000_000 - 7_200_000),
        ("1970-01-01T00:00:10", 10_000),
        ("1970-01-01T01:00:10+01:00", 10_000),
    ],
)
def test_since_is_an_age_or_a_time(text, expected_ms):
    """``--since`` is an age or an ISO time, in UTC if it has no time zone."""
    assert parse_since(text, 100_000_000) == expected_ms


def test_command_shows_and_filters(monkeypatch, capsys):
    """The command prints matching entries; an invalid time is a usage error."""
    logs = FakeLogs(ManualClock())
    publications = Publications(logs)
    publications.change()
    logs.put("ownership", encode_claim(Claim("g", "h1", "i1", -1)))
    monkeypatch.setattr("siskinthread.audit._operators.LogClient", lambda _: logs)
    arguments = ["audit", "--log", "127.0.0.1:1"]
    assert main([*arguments, "--kind", "ownership"]) == 0
    printed = capsys.readouterr().out
    assert printed == (
        "2023-11-14T22:13:20Z  ownership  0  granted  h1/i1  - -> h1/i1@0  group g\n"
    )
    assert main([*arguments, "--json", "--since", "2023-11-14"]) == 0
    assert '"from": -1' in capsys.readouterr().out
    assert main([*arguments, "--since", "yesterday"]) == 2
