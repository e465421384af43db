"""What ``siskinthread status`` builds on; daemons don't import it."""

import curio

from siskinthread.control._status_report import StatusReport
from siskinthread.control._survey import StatusSettings, survey_hosts

__all__ = ["StatusReport", "StatusSettings", "survey"]


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
