"""Queries for operators' commands; daemons don't import this module."""

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
    """Query all hosts and return the `StatusReport`.

    Parameters
    ----------
    settings : StatusSettings
        Address of the host list, keys and timeouts.

    Raises
    ------
    PlatformUnavailableError
        If the host list gave no answer.
    """
    return StatusReport(curio.run(survey_hosts, settings), settings)
