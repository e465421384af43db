"""Clients of the services that all processes share, one module for each service.

A client can be replaced by changing only its module.
"""

from siskinthread.shared_services._host_list import HostEntry, HostListClient
from siskinthread.shared_services._http import HttpClient, parse_json
from siskinthread.shared_services._log import LogClient, LogRecord, LogSpan
from siskinthread.shared_services._settings import PlatformSettings

__all__ = [
    "HostEntry",
    "HostListClient",
    "HttpClient",
    "LogClient",
    "LogRecord",
    "LogSpan",
    "PlatformSettings",
    "parse_json",
]
