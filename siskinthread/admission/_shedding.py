"""Load shedding by priority, least urgent requests first."""


class LoadShedder:
    """Decide by priority and load whether a request is refused.

    Parameters
    ----------
    settings : AdmissionSettings
        Limits, and the fraction of them at which the least urgent requests are refused.

    Notes
    -----
    Without load shedding, queues grow at the targets until deadlines pass, and urgent
    requests wait behind less urgent ones: the targets are fully used but complete few
    requests in time.  The threshold increases linearly from ``shed_start_fraction`` of
    a limit for the least urgent requests to the full limit for priority 0.
    """

    __slots__ = ("_settings",)

    def __init__(self, settings):
        self._settings = settings

    def should_shed(self, priority, in_flight_count, target_load):
        """Return whether a request must be refused.

        Parameters
        ----------
        priority : int
            0 is the most urgent.
        in_flight_count : int
            Requests in flight at this entry host.
        target_load : float or None
            Load of the service's targets as a multiple of their capacity; None if
            unknown.
        """
        settings = self._settings
        threshold = self._threshold_fraction(priority)
        if in_flight_count >= threshold * settings.in_flight_limit:
            return True
        if target_load is None:
            return False
        return target_load >= threshold * settings.target_load_limit

    def _threshold_fraction(self, priority):
        settings = self._settings
        lowest = settings.lowest_priority
        rank = min(max(priority, 0), lowest) / lowest
        return 1.0 - rank * (1.0 - settings.shed_start_fraction)
