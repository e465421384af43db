"""Which experts are in demand, from counts of a few ranks."""


class Demand:
    """Estimate of the load of each expert.

    Ranks count from their start, so that two looks at one rank give what was chosen
    between them.

    Parameters
    ----------
    settings : GroupMapSettings
        Smoothing.

    Attributes
    ----------
    loads_by_set : list of list of float, or None
        Load of each expert, 1 in sum for each set; None before the second look.
    """

    __slots__ = ("_last", "_settings", "loads_by_set")

    def __init__(self, settings):
        self._settings = settings
        self._last = {}
        self.loads_by_set = None

    def restart(self):
        """Forget the estimate; the next look shows the demand from the last one on."""
        self.loads_by_set = None

    def note(self, counts_by_rank):
        """Take the `RankCounts` of one look, by rank."""
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
            # Nothing was chosen: an idle group tells nothing of the demand.
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
    """Return each expert's part of one set, over several ranks; None without any."""
    sums = [max(0, sum(one)) for one in zip(*changes_of_ranks, strict=True)]
    total = sum(sums)
    return [one / total for one in sums] if total else None
