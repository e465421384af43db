"""Refusal of a request that no target can take."""

from siskinthread.outcomes import End, Outcome


class TargetRefusal(End):
    """The `End` of a request that no target can take now, so that it has not run.

    Parameters
    ----------
    cause : siskinthread.load_control.BindingCause
        Why no target can take the request.
    reason : siskinthread.outcomes.Reason
        Reason that is sent to the caller.
    message : str
        Explanation in one sentence.
    decide_delay_s : callable
        Returns how long the caller should wait before it retries, seconds.  Called
        once, when the refusal is written: a request that waits first must not book a
        return.
    """

    __slots__ = ("_decide_delay_s", "_retry_after_s", "cause")

    def __init__(self, cause, reason, message, decide_delay_s):
        self._decide_delay_s = decide_delay_s
        self._retry_after_s = None
        super().__init__(Outcome.REFUSED_NOT_RUN, reason, message)
        self.cause = cause

    @property
    def retry_after_s(self):
        """How long the caller should wait, seconds; decided on the first read."""
        if self._retry_after_s is None:
            self._retry_after_s = self._decide_delay_s()
        return self._retry_after_s

    @retry_after_s.setter
    def retry_after_s(self, value):
        self._retry_after_s = value
