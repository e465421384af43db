"""Commands about settings files."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from siskinthread.command_line._files import read_text
from siskinthread.command_line._output import print_text
from siskinthread.command_line._roles import Role, ROLES, settings_class
from siskinthread.errors import SettingsError
from siskinthread.settings import load_section, render_example


@cappa.command(
    name="check",
    help="Check a settings file and name all its problems.",
    description="Problems are printed one a line as 'file:line:column: message'. "
    "Without a role the file is checked for the role that it fits best.",
)
@dataclass(slots=True)
class SettingsCheckCommand:
    """Check a settings file."""

    file: Annotated[str, cappa.Arg(value_name="FILE", help="Settings file.")]
    role: Annotated[
        Role | None,
        cappa.Arg(long=True, help="Daemon that the file is for."),
    ] = None

    host: Annotated[
        bool,
        cappa.Arg(
            long="--host",
            help="The file is one that the users' platform writes for a host.",
        ),
    ] = False

    def __call__(self):
        text = read_text(self.file)
        if self.host:
            # Imported here, so that other commands start faster.
            from siskinthread.platform import read_host_settings

            settings = read_host_settings(text, self.file)
            print_text(f"{self.file}: fine for host {settings.host}\n")
            return
        roles = ROLES if self.role is None else (self.role,)
        failures = []
        for role in roles:
            try:
                load_section(settings_class(role), text, self.file)
            except SettingsError as error:
                failures.append(error)
            else:
                print_text(f"{self.file}: fine for the {role} daemon\n")
                return
        raise min(failures, key=lambda error: len(error.problems))


@cappa.command(
    name="show",
    help="Print an example of a settings file.",
    description="The example holds every setting with its type, unit, default, "
    "minimum and description.",
)
@dataclass(slots=True)
class SettingsShowCommand:
    """Print an example of a settings file."""

    role: Annotated[
        Role,
        cappa.Arg(long=True, help="Daemon that the file is for."),
    ]

    def __call__(self):
        print_text(render_example(settings_class(self.role)))


@cappa.command(name="settings", help="Check settings files and show what they hold.")
@dataclass(slots=True)
class SettingsCommand:
    """Group of the commands about settings files."""

    command: cappa.Subcommands[SettingsCheckCommand | SettingsShowCommand]
