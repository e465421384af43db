"""Tests of the access to the checkout, and of the measurement commands."""

import json
import types
import xml.etree.ElementTree

import pytest

from siskinthread.command_line import main
from siskinthread.errors import MeasurementError
from siskinthread.measurement import _experts, _path
from siskinthread.measurement._checkout import use_checkout
from siskinthread.measurement._expert_report import render_expert_report


def test_outside_a_checkout_the_measurement_says_what_is_missing(tmp_path):
    """Guards against a measurement from an installed package, without stand-ins."""
    (tmp_path / "scripts").mkdir()
    with pytest.raises(MeasurementError, match="checkout.*standins not found"):
        use_checkout(tmp_path)


def test_command_fails_when_a_bound_is_not_kept(monkeypatch, capsys):
    """The exit code is 0 only if every figure meets its bound."""
    report = types.SimpleNamespace(
        as_dict=lambda: {"checks": {}}, holds=lambda: False, checks=list
    )
    monkeypatch.setattr(_path, "measure_path", lambda quick: report)
    assert main(["measure", "path", "--json"]) == 1
    report.holds = lambda: True
    assert main(["measure", "path", "--quick"]) == 0
    assert json.loads(capsys.readouterr().out.splitlines()[-1]) == {"checks": {}}


@pytest.fixture
def expert_runs():
    """Runs of two policies over a short day."""
    runs = []
    for name, skews in (("static", [3.0, 4.0, 5.0]), ("a<b", [1.5, 1.4, 1.3])):
        run = _experts.PolicyRun(types.SimpleNamespace(name=name))
        run.skews, run.moves = skews, [0, 3, 1]
        runs.append(run)
    return runs


def test_expert_report_is_a_page_of_its_own(expert_runs, monkeypatch):
    """The page is well formed, shows every policy and refers to no other file."""
    monkeypatch.setattr("siskinthread.measurement._expert_report.COLOURS", ["red"] * 2)
    page = render_expert_report(1, expert_runs)
    tree = xml.etree.ElementTree.fromstring(
        page.removeprefix("<!DOCTYPE html>").replace('<meta charset="utf-8">', "")
    )
    texts = "".join(tree.itertext())
    assert "static" in texts and "a<b" in texts
    assert not any(
        "href" in each.attrib or "src" in each.attrib for each in tree.iter()
    )
    lines = [each for each in tree.iter() if each.tag.endswith("polyline")]
    assert len(lines) == 4
    # The line of the lower skew is drawn lower, at a larger y.
    heights = [float(line.get("points").split()[0].split(",")[1]) for line in lines]
    assert heights[0] < heights[1]
