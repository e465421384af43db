"""Published configuration: objects, selectors, records and the state they fold to."""

from siskinthread.configuration._objects import (
    Account,
    Host,
    Limits,
    ModelGroup,
    Placement,
    Policy,
    Service,
)
from siskinthread.configuration._selector import Selector
from siskinthread.configuration._state import State
from siskinthread.configuration._view import ConfigurationView

__all__ = [
    "Account",
    "ConfigurationView",
    "Host",
    "Limits",
    "ModelGroup",
    "Placement",
    "Policy",
    "Selector",
    "Service",
    "State",
]
