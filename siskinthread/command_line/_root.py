"""Root command with all daemons and groups of subcommands."""

from dataclasses import dataclass

import cappa

from siskinthread.command_line._audit import AuditCommand
from siskinthread.command_line._config import ConfigCommand
from siskinthread.command_line._daemons import AgentCommand, EntryCommand
from siskinthread.command_line._experts import ExpertsCommand
from siskinthread.command_line._measure import MeasureCommand
from siskinthread.command_line._settings import SettingsCommand
from siskinthread.command_line._status import StatusCommand
from siskinthread.command_line._trace import TraceCommand

# One line for each daemon and each group of subcommands.
Commands = (
    EntryCommand
    | AgentCommand
    | AuditCommand
    | ConfigCommand
    | ExpertsCommand
    | MeasureCommand
    | SettingsCommand
    | StatusCommand
    | TraceCommand
)  # fmt: skip


@cappa.command(
    name="siskinthread",
    help="Load balancer for expert-parallel model groups.",
    description="Exit codes: 0 if all went well, 2 for wrong usage or a bad file, 1 "
    "for any other failure; a command that has more states them in its own help.",
)
@dataclass(slots=True)
class RootCommand:
    """The whole command line."""

    command: cappa.Subcommands[Commands]
