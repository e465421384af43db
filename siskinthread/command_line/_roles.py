"""Daemons by role, and their settings.

The daemons are imported only when a command needs them, so that ``--help`` and commands
for operators start faster.
"""

from typing import get_args, Literal

from siskinthread.command_line._files import read_text
from siskinthread.settings import load_section

Role = Literal["entry", "agent", "gateway"]
ROLES = get_args(Role)


def settings_class(role):
    """Return the `Section` class of the settings of a daemon.

    Parameters
    ----------
    role : str
        Role in ``ROLES``.

    Returns
    -------
    type
        Class of the settings.
    """
    from siskinthread import daemons

    if role == "entry":
        return daemons.EntrySettings
    if role == "gateway":
        from siskinthread.platform import TuningSettings

        return TuningSettings
    return daemons.AgentSettings


def run_daemon(role, file_name):
    """Run a daemon until it stops.

    Parameters
    ----------
    role : str
        "entry" or "agent".
    file_name : str
        Path of its settings file.

    Returns
    -------
    int or None
        Exit code.

    Raises
    ------
    SettingsError
        If the file has problems; the error contains all of them.
    """
    from siskinthread import daemons

    text = read_text(file_name)
    settings = load_section(settings_class(role), text, file_name)
    if role == "entry":
        return daemons.run_entry(settings)
    return daemons.run_agent(settings)
