"""The hierarchy of exceptions and warnings.

Outcomes of requests are values (`siskinthread.outcomes`); exceptions are for errors
that abort the current operation.
"""

from siskinthread.errors._errors import (
    AnswerTooLongError,
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
    "AnswerTooLongError",
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
