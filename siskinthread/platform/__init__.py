"""The platform's services, one narrow module for each.

Replacing an adapter touches its module only.
"""

from siskinthread.platform._host_list import HostEntry, HostListClient
from siskinthread.platform._http import HttpClient
from siskinthread.platform._log import LogClient, LogRecord, LogSpan
from siskinthread.platform._settings import PlatformSettings

__all__ = [
    "HostEntry",
    "HostListClient",
    "HttpClient",
    "LogClient",
    "LogRecord",
    "LogSpan",
    "PlatformSettings",
]
