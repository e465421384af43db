"""Exception and warning classes."""


class SiskinthreadError(Exception):
    """Base class of all errors that this library raises."""


class InvariantError(SiskinthreadError):
    """A violated invariant; the only error that may stop a process."""


class DocumentError(SiskinthreadError):
    """A JSON document is unreadable or does not have the expected structure.

    Parameters
    ----------
    problems : list of siskinthread.documents.Problem
        All problems found, in document order.
    """

    def __init__(self, problems):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = list(problems)


class SettingsError(DocumentError):
    """A settings file has unknown, repeated, missing or mistyped items."""


class ProtocolError(SiskinthreadError):
    """The peer violated the protocol."""


class HandshakeError(ProtocolError):
    """The peer failed to prove possession of a shared key."""


class ConnectionLostError(SiskinthreadError):
    """A connection ended, failed or received no data before its deadline."""


class CallerLeftError(SiskinthreadError):
    """A caller's connection ended while its answer was being written."""


class PlatformUnavailableError(SiskinthreadError):
    """The platform's log, host list or weight store did not answer in time."""


class PlatformRefusedError(PlatformUnavailableError):
    """A service of the platform refused a request or answered unexpectedly.

    Parameters
    ----------
    message : str
        Human-readable description.
    status : int
        HTTP status of the response.
    """

    def __init__(self, message, status):
        super().__init__(message)
        self.status = status


class PositionExpiredError(SiskinthreadError):
    """The records after a position were dropped; all records must be read again."""


class SourceRestoredError(PositionExpiredError):
    """The source was restored to an older state, so positions in it are invalid."""


class RecordsUnreadError(SiskinthreadError):
    """An append was rejected: the source has records that the writer has not read."""


class TargetError(SiskinthreadError):
    """A target closed its connection or sent an unreadable response."""


class TargetSilentError(TargetError):
    """A target sent nothing until the deadline of the call."""


class AnswerTooLongError(TargetError):
    """An answer exceeds the limits on its bytes or parts."""


class MeasurementError(SiskinthreadError):
    """A measurement could not be completed."""


class SiskinthreadWarning(UserWarning):
    """Base class of all warnings that this library issues."""
