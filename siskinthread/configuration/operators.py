"""Interface for the operators' command line; not imported by daemons."""

from siskinthread.configuration._objects import KINDS
from siskinthread.configuration._operations import PublishRequest
from siskinthread.configuration._operators import (
    check_files,
    diff_files,
    publish_files,
    read_files,
    show_history,
    show_state,
)
from siskinthread.configuration._settings import OperatorSettings

__all__ = [
    "KINDS",
    "OperatorSettings",
    "PublishRequest",
    "check_files",
    "diff_files",
    "publish_files",
    "read_files",
    "show_history",
    "show_state",
]
