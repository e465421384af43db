"""The one tree of exceptions and warnings.

Outcomes of requests are values (`siskinthread.execution`); exceptions are for errors
that stop the operation at hand.
"""

from siskinthread.errors._errors import (
    CallerLeftError,
    ConnectionLostError,
    DocumentError,
    HandshakeError,
    InvariantError,
    MeasurementError,
    PlatformRefusedError,
    PlatformUnavailableError,
    PositionExpiredError,
    ProtocolError,
    RecordsUnreadError,
    SettingsError,
    SiskinthreadError,
    SiskinthreadWarning,
    SourceRestoredError,
    TargetError,
    TargetSilentError,
)

__all__ = [
    "CallerLeftError",
    "ConnectionLostError",
    "DocumentError",
    "HandshakeError",
    "InvariantError",
    "MeasurementError",
    "PlatformRefusedError",
    "PlatformUnavailableError",
    "PositionExpiredError",
    "ProtocolError",
    "RecordsUnreadError",
    "SettingsError",
    "SiskinthreadError",
    "SiskinthreadWarning",
    "SourceRestoredError",
    "TargetError",
    "TargetSilentError",
]
