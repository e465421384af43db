"""The back-off of one target, and the gradual return of requests after it."""


class Backoff:
    """A back-off that a target has requested from this host, and the return after it.

    Parameters
    ----------
    instance_id, service_name : str
        The target and its service.
    end : siskinthread.timing.Deadline
        When the back-off ends.

    Attributes
    ----------
    end : siskinthread.timing.Deadline
        When the back-off ends.
    count : int
        Consecutive back-offs without a successful answer between them.
    allowed_count : int
        Requests that the target may get after its back-off before it answers again.
    answer_count : int
        Successful answers since the end of the back-off.
    next_retry : siskinthread.timing.Deadline or None
        When another request may be sent although none was answered.
    """

    __slots__ = (
        "answer_count",
        "count",
        "end",
        "instance_id",
        "next_retry",
        "allowed_count",
        "service_name",
    )

    def __init__(self, instance_id, service_name, end):
        self.instance_id = instance_id
        self.service_name = service_name
        self.end = end
        self.count = 1
        self._begin_recovery()

    def extend(self, end):
        """Apply a further back-off; the latest end counts.

        Returns
        -------
        bool
            Whether a new back-off begins, because the last one had ended.
        """
        was_over = self.end.passed()
        if end.at_s > self.end.at_s:
            self.end = end
        if was_over:
            self.count += 1
            self._begin_recovery()
        return was_over

    def left_s(self):
        """Return the time until the target may get a request, seconds."""
        if not self.end.passed():
            return self.end.left_s()
        if self.allowed_count > 0 or self.next_retry is None:
            return 0.0
        return max(0.0, self.next_retry.left_s())

    def is_open(self):
        """Return whether the target may get a request now."""
        if not self.end.passed():
            return False
        return self.allowed_count > 0 or self.next_retry.passed()

    def is_confirmed(self):
        """Return whether the target has answered since its back-off."""
        return self.answer_count > 0

    def note_sent(self, next_retry):
        """Use a slot for a request that is sent."""
        self.allowed_count = max(0, self.allowed_count - 1)
        self.next_retry = next_retry

    def note_answered(self):
        """Free the slot of the answered request and add one."""
        self.answer_count += 1
        self.allowed_count += 2

    def _begin_recovery(self):
        self.allowed_count = 1
        self.answer_count = 0
        self.next_retry = None
