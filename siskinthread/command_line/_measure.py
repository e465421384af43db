"""Commands that measure the cost of the system and the quality of its decisions."""

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from siskinthread.command_line._output import print_text

_Json = Annotated[
    bool, cappa.Arg(long="--json", help="Print one JSON object in the last line.")
]
EXPERT_SEEDS = (1, 2, 3)


@cappa.command(
    name="path",
    help="Measure the cost of the path from callers to engines.",
    description="Starts one entry, agents, stand-ins of engines and callers as "
    "processes on loopback, loads them for about two minutes and ends them. Runs from "
    "a checkout of the repository only. Exit code 1 if a figure exceeds its bound.",
)
@dataclass(slots=True)
class PathCommand:
    """Measure the path."""

    json: _Json = False
    quick: Annotated[
        bool, cappa.Arg(long="--quick", help="Fewer levels, shorter; less exact.")
    ] = False

    def __call__(self):
        from siskinthread.measurement._path import measure_path

        report = measure_path(self.quick)
        if self.json:
            print_text(json.dumps(report.as_dict()) + "\n")
        else:
            print_text("".join(f"{check}\n" for check in report.checks()))
        return 0 if report.holds() else 1


@cappa.command(
    name="routing",
    help="Compare the choice of targets with its baselines.",
    description="Runs seeded models of queues in this process.",
)
@dataclass(slots=True)
class RoutingCommand:
    """Measure the choice of targets."""

    json: _Json = False

    def __call__(self):
        from siskinthread.measurement._routing import measure_routing

        comparisons = measure_routing()
        values = {name: each.as_dict() for name, each in comparisons.items()}
        _print_values(values, self.json)


@cappa.command(
    name="experts",
    help="Compare the planner of expert maps with its baselines.",
    description="Runs seeded days of a group in this process.",
)
@dataclass(slots=True)
class ExpertsCommand:
    """Measure the planner of expert maps."""

    json: _Json = False
    report: Annotated[
        str | None,
        cappa.Arg(
            long="--report",
            value_name="FILE",
            help="Write a page with skew and moves against time, for the first seed.",
        ),
    ] = None

    def __call__(self):
        from siskinthread.measurement._expert_report import render_expert_report
        from siskinthread.measurement._experts import compare, figures

        runs = {seed: compare(seed) for seed in EXPERT_SEEDS}
        if self.report is not None:
            page = render_expert_report(EXPERT_SEEDS[0], runs[EXPERT_SEEDS[0]])
            _write(self.report, page)
        values = {str(seed): figures(each) for seed, each in runs.items()}
        _print_values(values, self.json)


@cappa.command(
    name="control",
    help="Measure what the daemons use for control, by the number of hosts.",
)
@dataclass(slots=True)
class ControlCommand:
    """Measure the control traffic."""

    json: _Json = False

    def __call__(self):
        from siskinthread.measurement._control import measure_control

        _print_values(measure_control(), self.json)


@cappa.command(
    name="measure", help="Measure what the system costs and how well it decides."
)
@dataclass(slots=True)
class MeasureCommand:
    """Group of the commands that measure."""

    command: cappa.Subcommands[
        PathCommand | RoutingCommand | ExpertsCommand | ControlCommand
    ]


def _print_values(values, as_json):
    print_text(json.dumps(values, indent=None if as_json else 2) + "\n")


def _write(file_name, text):
    try:
        Path(file_name).write_text(text, encoding="utf-8")
    except OSError as error:
        print(f"{file_name}: can't write: {error.strerror}", file=sys.stderr)
        raise cappa.Exit(code=1) from None
