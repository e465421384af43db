"""Published configuration: objects, selectors, log records and the resulting state.

``follow_log(client, view, settings, clock, metrics)`` is the task that every daemon
runs; ``settings`` is a `siskinthread.shared_services.PlatformSettings`.  A daemon that
exchanges records with peers creates a `LogFollower` instead.  Its ``run()`` is the same
task, its ``answer(request)`` answers a ``ConfigurationRequest`` of a peer, and it sends
its own requests through `Peers`.
"""

from siskinthread.configuration._exchange import Peers
from siskinthread.configuration._follower import follow_log, LogFollower
from siskinthread.configuration._homes import HOMES_SETTLE_S
from siskinthread.configuration._objects import (
    Account,
    Host,
    Limits,
    ModelGroup,
    Placement,
    Policy,
    Service,
)
from siskinthread.configuration._peers import chosen_readers, is_complete_status
from siskinthread.configuration._selector import Selector
from siskinthread.configuration._settings import ConfigurationSettings
from siskinthread.configuration._state import digest_key, State
from siskinthread.configuration._view import ConfigurationView

__all__ = [
    "HOMES_SETTLE_S",
    "Account",
    "ConfigurationSettings",
    "ConfigurationView",
    "Host",
    "Limits",
    "LogFollower",
    "ModelGroup",
    "Peers",
    "Placement",
    "Policy",
    "Selector",
    "Service",
    "State",
    "chosen_readers",
    "digest_key",
    "follow_log",
    "is_complete_status",
]
