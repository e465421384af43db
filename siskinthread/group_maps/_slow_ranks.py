"""Detects ranks of a group that should get no requests because they are slow.

Load pattern: one rank of a group takes several times as long for the same work.  All
ranks execute each pass together, so every stream of the group waits for the slow rank.
Moving its experts away is not enough: the rank still does the non-expert work of the
requests that it runs, and processes their prompts.  So it gets no new requests, as long
as only few ranks are slow.
"""

from siskinthread.observability import part_logger

_logger = part_logger("group_maps")


class SlowRanks:
    """Slow ranks of one group, by their own reports.

    Parameters
    ----------
    target_ids : list of str
        Instance id of each rank's target, in rank order.
    notify : callable
        Called with the instance ids of the slow targets each time ranks have reported.
    settings : GroupMapSettings
        Slowness from which a rank counts as slow, and largest share of ranks to
        exclude.

    Notes
    -----
    With one of 63 ranks 4 times slower, passes of an otherwise even group took 0.16 s
    to 0.24 s, which is too late for all 300 streams.
    """

    __slots__ = ("_settings", "_slow", "_slowness", "_target_ids", "_notify")

    def __init__(self, target_ids, notify, settings):
        self._target_ids = target_ids
        self._notify = notify
        self._settings = settings
        self._slowness = {}
        self._slow = []

    @property
    def numbers(self):
        """Numbers of the ranks that should get no requests."""
        return list(self._slow)

    def note(self, reports):
        """Update from the `RankReport` of all ranks, or of some."""
        for report in reports:
            self._slowness[report.rank] = report.slowness
        slow = self._find_slow()
        if slow != self._slow:
            self._slow = slow
            _logger.event(
                "slow ranks get no requests",
                targets=self._ids(),
                slowness=[round(self._slowness[rank], 2) for rank in slow],
            )
        self._notify(self._ids())

    def _find_slow(self):
        settings = self._settings
        slow = sorted(
            rank
            for rank, slowness in self._slowness.items()
            if slowness >= settings.slow_ratio and rank < len(self._target_ids)
        )
        # Excluding many ranks would cost more request slots than shorter passes give
        # back.
        if len(slow) > settings.slow_share_limit * len(self._target_ids):
            return []
        return slow

    def _ids(self):
        return [self._target_ids[rank] for rank in self._slow]
