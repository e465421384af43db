"""Definitions of the exception and warning classes."""


class SiskinthreadError(Exception):
    """Base of every error that this library raises."""


class InvariantError(SiskinthreadError):
    """A broken invariant; the only error that may stop a process."""


class DocumentError(SiskinthreadError):
    """A JSON document can't be read or does not have the expected form.

    Parameters
    ----------
    problems : list of siskinthread.documents.Problem
        Every problem found, in the order of the document.
    """

    def __init__(self, problems):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = list(problems)


class SettingsError(DocumentError):
    """A settings file has unknown, repeated, missing or ill-typed items."""


class ProtocolError(SiskinthreadError):
    """The peer sent bytes that the protocol does not allow."""


class HandshakeError(ProtocolError):
    """The peer did not prove that it holds a shared key."""


class ConnectionLostError(SiskinthreadError):
    """A connection ended, failed or stayed silent past its deadline."""


class CallerLeftError(SiskinthreadError):
    """The connection of a caller ended while its answer was written."""


class PlatformUnavailableError(SiskinthreadError):
    """The platform's log, host list or weight store gave no answer in time."""


class PlatformRefusedError(PlatformUnavailableError):
    """A service of the platform answered, but not with what was asked for.

    Parameters
    ----------
    message : str
        For people.
    status : int
        HTTP status of the answer.
    """

    def __init__(self, message, status):
        super().__init__(message)
        self.status = status


class PositionExpiredError(SiskinthreadError):
    """The records behind a position have been dropped; all must be read anew."""


class SourceRestoredError(PositionExpiredError):
    """The source has come back older than it was, so that a position means nothing."""


class RecordsUnreadError(SiskinthreadError):
    """The source has records that the writer hasn't read, and took nothing."""


class TargetError(SiskinthreadError):
    """A target closed its connection or answered something unreadable."""


class TargetSilentError(TargetError):
    """A target sent nothing for as long as its caller could wait."""


class MeasurementError(SiskinthreadError):
    """A measurement could not be carried out."""


class SiskinthreadWarning(UserWarning):
    """Base of every warning that this library issues."""
