"""Which ranks of a group should get no requests because they are slow.

The load pattern: one rank of a group takes several times as long for the same work.
All ranks execute each pass together, so every stream of the group waits for it.  Taking
experts from it is not enough: it still does its own part for the requests that it
runs, and reads their prompts.  So it gets no more of them while few ranks are slow.
"""

from siskinthread.observability import part_logger

_logger = part_logger("group_maps")


class SlowRanks:
    """Which ranks of one group are slow, as they report.

    Parameters
    ----------
    target_ids : list of str
        The instance id of each rank's target, in the order of the ranks.
    tell : callable
        Called with the ids of the slow targets whenever ranks have reported.
    settings : GroupMapSettings
        From when on a rank is slow, and how many may be passed over.

    Notes
    -----
    With one of 63 ranks 4 times slower, passes of an otherwise even group took 0.16 s
    to 0.24 s, which is late for all 300 streams.
    """

    __slots__ = ("_settings", "_slow", "_slowness", "_target_ids", "_tell")

    def __init__(self, target_ids, tell, settings):
        self._target_ids = target_ids
        self._tell = tell
        self._settings = settings
        self._slowness = {}
        self._slow = []

    @property
    def numbers(self):
        """Numbers of the ranks that should get no requests."""
        return list(self._slow)

    def note(self, reports):
        """Take the `RankReport` of all ranks, or of some."""
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
        self._tell(self._ids())

    def _find_slow(self):
        settings = self._settings
        slow = sorted(
            rank
            for rank, slowness in self._slowness.items()
            if slowness >= settings.slow_ratio and rank < len(self._target_ids)
        )
        # Passing over many would cost more slots than shorter passes give back.
        if len(slow) > settings.slow_share_limit * len(self._target_ids):
            return []
        return slow

    def _ids(self):
        return [self._target_ids[rank] for rank in self._slow]
