"""Events of a response, in order: `Head`, any number of `Part`, one `End`.

For a request that was refused, failed or is unknown, `End` may be the only event.
"""


class Head:
    """Status line and headers of a target's response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of tuple of str
        Pairs of lower-case name and value.
    """

    __slots__ = ("headers", "status")

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers


class Part:
    """The next bytes of the body; parts are contiguous and in order.

    Parameters
    ----------
    offset_bytes : int
        Offset of the first byte in the body.
    data : bytes
        Bytes of the body.
    """

    __slots__ = ("data", "offset_bytes")

    def __init__(self, offset_bytes, data):
        self.offset_bytes = offset_bytes
        self.data = data


class End:
    """The last event of a response.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the request.
    reason : Reason
        Machine-readable reason of the outcome.
    message : str
        Human-readable explanation.
    length_bytes : int
        Length of the complete body; meaningful only for ``ANSWERED``.
    retry_after_s : float or None
        Seconds after which a retry may help, None if unknown or not useful.
    """

    __slots__ = ("length_bytes", "message", "outcome", "reason", "retry_after_s")

    def __init__(self, outcome, reason, message="", length_bytes=0, retry_after_s=None):
        self.outcome = outcome
        self.reason = reason
        self.message = message
        self.length_bytes = length_bytes
        self.retry_after_s = retry_after_s

    def __repr__(self):
        return f"End({self.outcome.name}, {self.reason}, {self.message!r})"
