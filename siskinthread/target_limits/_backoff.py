"""The back-off of one target, and how this entry comes back to it."""


class Backoff:
    """A back-off that a target has asked this entry for, and the return after it.

    Parameters
    ----------
    instance_id, service_name : str
        The target and its service.
    end : siskinthread.timing.Deadline
        When the back-off is over.

    Attributes
    ----------
    end : siskinthread.timing.Deadline
        When the back-off is over.
    count : int
        Back-offs without a good answer between them.
    place_count : int
        Requests that the target may get without a further answer, after its back-off.
    answer_count : int
        Good answers since the end of the back-off.
    next_try : siskinthread.timing.Deadline or None
        When another request may be sent although none has been answered.
    """

    __slots__ = (
        "answer_count",
        "count",
        "end",
        "instance_id",
        "next_try",
        "place_count",
        "service_name",
    )

    def __init__(self, instance_id, service_name, end):
        self.instance_id = instance_id
        self.service_name = service_name
        self.end = end
        self.count = 1
        self._begin_return()

    def prolong(self, end):
        """Take a further back-off; the latest end counts.

        Returns
        -------
        bool
            Whether it begins a back-off after one that was over.
        """
        was_over = self.end.passed()
        if end.at_s > self.end.at_s:
            self.end = end
        if was_over:
            self.count += 1
            self._begin_return()
        return was_over

    def left_s(self):
        """Return the time until the target may get a request, seconds."""
        if not self.end.passed():
            return self.end.left_s()
        if self.place_count > 0 or self.next_try is None:
            return 0.0
        return max(0.0, self.next_try.left_s())

    def is_open(self):
        """Return whether the target may get a request now."""
        if not self.end.passed():
            return False
        return self.place_count > 0 or self.next_try.passed()

    def is_proved(self):
        """Return whether the target has answered since its back-off."""
        return self.answer_count > 0

    def note_sent(self, next_try):
        """Take away the place of a request that is sent."""
        self.place_count = max(0, self.place_count - 1)
        self.next_try = next_try

    def note_answered(self):
        """Open two places for the one that was answered."""
        self.answer_count += 1
        self.place_count += 2

    def _begin_return(self):
        self.place_count = 1
        self.answer_count = 0
        self.next_try = None
