"""Estimate of the demand for experts, from counts of a few ranks."""


class Demand:
    """Estimate of the load of each expert.

    Ranks count from their start, so the difference of two samples of a rank is what was
    selected between them.

    Parameters
    ----------
    settings : GroupMapSettings
        Weight of the newest sample.

    Attributes
    ----------
    loads_by_set : list of list of float, or None
        Load of each expert, normalized to a sum of 1 in each set; None before the
        second sample.
    """

    __slots__ = ("_last", "_settings", "loads_by_set")

    def __init__(self, settings):
        self._settings = settings
        self._last = {}
        self.loads_by_set = None

    def restart(self):
        """Drop the estimate; the next sample covers the time since the last one."""
        self.loads_by_set = None

    def note(self, counts_by_rank):
        """Add a sample, given as a dict of `RankCounts` by rank."""
        changes = []
        for rank, counts in counts_by_rank.items():
            last = self._last.get(rank)
            self._last[rank] = counts
            if last is not None and counts.continues(last):
                changes.append(_difference(counts.counts_by_set, last.counts_by_set))
        if not changes:
            return
        newest = [_shares(one_set) for one_set in zip(*changes, strict=True)]
        if any(one_set is None for one_set in newest):
            # No expert was selected: an idle group says nothing about the demand.
            return
        self.loads_by_set = self._smoothed(newest)

    def _smoothed(self, newest):
        if self.loads_by_set is None:
            return newest
        weight = self._settings.newest_weight
        return [
            [
                weight * new + (1 - weight) * old
                for new, old in zip(new_set, old_set, strict=True)
            ]
            for new_set, old_set in zip(newest, self.loads_by_set, strict=True)
        ]


def _difference(newer, older):
    return [
        [new - old for new, old in zip(new_set, old_set, strict=True)]
        for new_set, old_set in zip(newer, older, strict=True)
    ]


def _shares(changes_of_ranks):
    """Return each expert's share of one set over several ranks; None if all are 0."""
    sums = [max(0, sum(changes)) for changes in zip(*changes_of_ranks, strict=True)]
    total = sum(sums)
    return [count / total for count in sums] if total else None
