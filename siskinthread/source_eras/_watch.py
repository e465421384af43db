"""Tracks the newest known era of a source."""

from siskinthread.observability import part_logger

_logger = part_logger("source_eras")


class EraWatch:
    """Tracks the newest era of a source by all reports of it.

    Parameters
    ----------
    metrics : siskinthread.observability.Metrics
        Metrics of this process.

    Attributes
    ----------
    newest : int or None
        The newest reported era; None before the first report.

    Notes
    -----
    Without eras, a leaving target could receive requests seconds after its leaving was
    acknowledged: the source lost some records, and the records written afterwards got
    the positions of the lost ones, which this process had already read.
    """

    __slots__ = ("_gauge", "_has_unreadable_era", "_listeners", "newest")

    def __init__(self, metrics):
        self.newest = None
        self._has_unreadable_era = False
        self._listeners = []
        self._gauge = metrics.gauge(
            "source_era", "Newest era of the source of configuration and targets."
        )

    def listen(self, callback):
        """Register a coroutine function to call whenever a later era begins."""
        self._listeners.append(callback)

    async def note(self, era, told_by):
        """Record a reported era, and call the listeners if it is a later one.

        Parameters
        ----------
        era : int or None
            The era; None if the reporter knows none.
        told_by : str
            The reporter, for the log.
        """
        if era is None or (self.newest is not None and era <= self.newest):
            return
        before, self.newest = self.newest, era
        self._gauge.set(era)
        if before is None:
            return
        _logger.event("source came back older", era=era, before=before, told_by=told_by)
        for callback in self._listeners:
            await callback()

    def note_unreadable(self):
        """Record that the source reported an invalid era."""
        self._has_unreadable_era = True

    def is_comparable(self, era):
        """Return whether positions of an era are comparable with positions of peers.

        Parameters
        ----------
        era : int or None
            Era of this process's position.

        Returns
        -------
        bool
            False if the era is over.  For None, True only if no era was ever reported,
            because a source that can be restored from an older copy reports its era.
        """
        if era is None:
            return self.newest is None and not self._has_unreadable_era
        return not self.is_over(era)

    def is_over(self, era):
        """Return whether an era is known to have ended."""
        return era is not None and self.newest is not None and era < self.newest
