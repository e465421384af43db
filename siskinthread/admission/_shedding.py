"""Early refusal under overload, least urgent first."""


class LoadShedder:
    """Decides which priorities are refused at a load.

    Parameters
    ----------
    settings : AdmissionSettings
        Limits and the share of them from which the least urgent are refused.

    Notes
    -----
    Without it, a queue grows in front of the targets until deadlines pass, and alerts
    wait in it behind drafts; one would notice full use and few whole answers.  The
    threshold rises evenly from ``shed_start_fraction`` of a limit for the least urgent
    to the whole limit for priority 0.
    """

    __slots__ = ("_settings",)

    def __init__(self, settings):
        self._settings = settings

    def sheds(self, priority, in_flight_count, target_load):
        """Return whether a request shall be refused.

        Parameters
        ----------
        priority : int
            0 is the most urgent.
        in_flight_count : int
            Requests in flight at this entry host.
        target_load : float or None
            Work of the service's targets over their capacity, None if unknown.
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
