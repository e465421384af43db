"""What operators' commands build on; daemons don't import it."""

import curio

from siskinthread.control._status_report import StatusReport
from siskinthread.control._survey import (
    ask_hosts,
    HostAnswer,
    StatusSettings,
    survey_hosts,
)

__all__ = ["HostAnswer", "StatusReport", "StatusSettings", "ask_hosts", "survey"]


def survey(settings):
    """Ask all hosts; return the `StatusReport`.

    Parameters
    ----------
    settings : StatusSettings
        Where to ask.

    Raises
    ------
    PlatformUnavailableError
        If the host list gave no answer.
    """
    return StatusReport(curio.run(survey_hosts, settings), settings)
