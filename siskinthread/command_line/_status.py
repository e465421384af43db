"""Command that shows which configuration is in force on which hosts."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from siskinthread.command_line._files import read_text
from siskinthread.command_line._output import print_text
from siskinthread.control import operators
from siskinthread.settings import load_section


@cappa.command(
    name="status",
    help="Show which configuration is in force on which hosts.",
    description="Asks every host of the host list. Exit codes: 0 the newest version is "
    "in force on all hosts, 1 the host list gave no answer, 2 wrong usage or a bad "
    "file, 3 a host holds another version or an old view, 4 all that answered agree, "
    "but a host that isn't leaving didn't answer.",
)
@dataclass(slots=True)
class StatusCommand:
    """Show which configuration is in force on which hosts."""

    settings: Annotated[
        str,
        cappa.Arg(
            long="--settings",
            value_name="FILE",
            help="Settings: host_list, peers (keys), answer_wait_s, "
            "parallel_questions, old_view_s.",
        ),
    ]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def __call__(self):
        text = read_text(self.settings)
        settings = load_section(operators.StatusSettings, text, self.settings)
        report = operators.survey(settings)
        print_text(report.render(self.json) + "\n")
        return report.exit_code
