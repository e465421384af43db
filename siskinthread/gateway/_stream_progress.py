"""Progress of one stream, reported to the progress of its group."""


class StreamProgress:
    """Reports the events of a stream to `GroupProgress`, if its target has a group.

    Parameters
    ----------
    progress : GroupProgress
        Progress of all groups.
    group : str or None
        Group of the target.
    instance_id : str
        Instance id of the target.
    """

    __slots__ = ("_group", "_has_begun", "_instance_id", "_progress")

    def __init__(self, progress, group, instance_id):
        self._progress = progress
        self._group = group
        self._instance_id = instance_id
        self._has_begun = False

    def event_came(self):
        """Record an event."""
        if self._group is None:
            return
        if not self._has_begun:
            self._has_begun = True
            self._progress.stream_began(self._group, self._instance_id)
        self._progress.event_came(self._group)

    def end(self):
        """Record the end of the stream."""
        if self._has_begun:
            self._progress.stream_ended(self._group, self._instance_id)
