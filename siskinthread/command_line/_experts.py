"""Command that shows the expert maps of groups and their controllers."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from siskinthread.command_line._files import read_text
from siskinthread.command_line._output import print_text
from siskinthread.control.operators import StatusSettings
from siskinthread.experts import operators
from siskinthread.settings import load_section


@cappa.command(
    name="show",
    help="Show who controls each group, its skew and what the last plan did.",
    description="Asks every agent of the host list. Exit codes: 0 each group has one "
    "controller, 1 the host list gave no answer, 2 wrong usage or a bad file, 3 a "
    "group has no controller in force, several, or a change that is unfinished, or no "
    "agent has the named group, 4 none of that, but an agent that isn't leaving "
    "didn't answer.",
)
@dataclass(slots=True)
class ExpertsShowCommand:
    """Show who controls each group, its skew and what the last plan did."""

    settings: Annotated[
        str,
        cappa.Arg(
            long="--settings",
            value_name="FILE",
            help="Settings, as for 'siskinthread status'.",
        ),
    ]
    group: Annotated[
        str, cappa.Arg(long="--group", value_name="NAME", help="Only this group.")
    ] = ""
    map: Annotated[
        bool, cappa.Arg(long="--map", help="Show the experts of each rank.")
    ] = False
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def __call__(self):
        text = read_text(self.settings)
        settings = load_section(StatusSettings, text, self.settings)
        report = operators.survey(settings, self.group)
        print_text(report.render(self.json, self.map) + "\n")
        return report.exit_code


@cappa.command(name="experts", help="Show expert maps and their controllers.")
@dataclass(slots=True)
class ExpertsCommand:
    """Group of the commands about expert maps."""

    command: cappa.Subcommands[ExpertsShowCommand]
