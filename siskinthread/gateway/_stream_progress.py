"""What one stream tells of the progress of its group."""


class StreamProgress:
    """Tells the progress of a stream to that of its group, if it has one.

    Parameters
    ----------
    progress : GroupProgress
        That of all groups.
    group : str or None
        The stream's group.
    instance_id : str
        The stream's target.
    """

    __slots__ = ("_group", "_has_begun", "_instance_id", "_progress")

    def __init__(self, progress, group, instance_id):
        self._progress = progress
        self._group = group
        self._instance_id = instance_id
        self._has_begun = False

    def event_came(self):
        """Note an event."""
        if self._group is None:
            return
        if not self._has_begun:
            self._has_begun = True
            self._progress.stream_began(self._group, self._instance_id)
        self._progress.event_came(self._group)

    def end(self):
        """Note that the stream is over."""
        if self._has_begun:
            self._progress.stream_ended(self._group, self._instance_id)
