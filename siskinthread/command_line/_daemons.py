"""Commands that run the daemons."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from siskinthread.command_line._roles import run_daemon

_SettingsFile = Annotated[
    str,
    cappa.Arg(
        long="--settings",
        value_name="FILE",
        help="Settings file; 'siskinthread settings show' prints an example.",
    ),
]


@cappa.command(
    name="entry",
    help="Run the entry daemon, which serves callers.",
    description="Run the entry daemon until SIGTERM, which lets the requests in "
    "flight finish.",
)
@dataclass(slots=True)
class EntryCommand:
    """Run the entry daemon."""

    settings: _SettingsFile

    def __call__(self):
        return run_daemon("entry", self.settings)


@cappa.command(
    name="agent",
    help="Run the agent daemon, the gate to the target on its host.",
    description="Run the agent daemon until SIGTERM, which lets the requests in "
    "flight finish.",
)
@dataclass(slots=True)
class AgentCommand:
    """Run the agent daemon."""

    settings: _SettingsFile

    def __call__(self):
        return run_daemon("agent", self.settings)
