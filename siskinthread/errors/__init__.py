"""The one tree of exceptions and warnings.

Outcomes of requests are values (`siskinthread.execution`); exceptions are for errors
that stop the operation at hand.
"""

from siskinthread.errors._errors import (
    ConnectionLostError,
    DocumentError,
    HandshakeError,
    InvariantError,
    MeasurementError,
    PlatformUnavailableError,
    ProtocolError,
    SettingsError,
    SiskinthreadError,
    SiskinthreadWarning,
    TargetError,
)

__all__ = [
    "ConnectionLostError",
    "DocumentError",
    "HandshakeError",
    "InvariantError",
    "MeasurementError",
    "PlatformUnavailableError",
    "ProtocolError",
    "SettingsError",
    "SiskinthreadError",
    "SiskinthreadWarning",
    "TargetError",
]
