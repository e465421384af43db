"""Statements of targets and hosts on limits, back-offs and cold starts."""


class StatedLimit:
    """The rate limit that an answer of a target states.

    Parameters
    ----------
    rate_per_s : float or None
        Requests a second that the target takes from all hosts; None if the answer
        states no limit.
    unreadable : str or None
        The text in the place of the rate, if it is not a rate.
    """

    __slots__ = ("rate_per_s", "unreadable")

    def __init__(self, rate_per_s=None, unreadable=None):
        self.rate_per_s = rate_per_s
        self.unreadable = unreadable


class StatedBackoff:
    """The back-off that an answer of a target requests from this host.

    Parameters
    ----------
    wait_s : float
        Duration of the back-off from the answer on, seconds; 0 for none.
    unreadable : str or None
        The text in the place of a duration, if it is not a duration.
    """

    __slots__ = ("unreadable", "wait_s")

    def __init__(self, wait_s=0.0, unreadable=None):
        self.wait_s = wait_s
        self.unreadable = unreadable


class LimitStatement:
    """What a host reports to its peers about the rate limit of a target.

    Parameters
    ----------
    instance_id : str
        The target.
    service_name : str
        Its service.
    rate_per_s : float or None
        The limit; None if it has ended.
    age_s : float
        Time since an answer of the target stated the limit or its end, seconds.
    """

    __slots__ = ("age_s", "instance_id", "rate_per_s", "service_name")

    def __init__(self, instance_id, service_name, rate_per_s, age_s):
        self.instance_id = instance_id
        self.service_name = service_name
        self.rate_per_s = rate_per_s
        self.age_s = age_s


class ColdStatement:
    """What a host reports to its peers about a cold or failed target.

    Parameters
    ----------
    instance_id : str
        The target.
    left_s : float
        For how much longer the target is cold by its own statement, seconds; 0
        without a statement.
    failed_age_s : float or None
        Time since the target failed this host, seconds; None without a recent
        failure.
    """

    __slots__ = ("failed_age_s", "instance_id", "left_s")

    def __init__(self, instance_id, left_s, failed_age_s=None):
        self.instance_id = instance_id
        self.left_s = left_s
        self.failed_age_s = failed_age_s

    def key(self):
        """Return the part that peers need at once, without the times."""
        return self.instance_id, self.failed_age_s is not None


class BackoffStatement:
    """What a host reports to its peers about the back-off of a target.

    Parameters
    ----------
    instance_id : str
        The target.
    left_s : float
        Time until the end of the back-off, seconds.
    """

    __slots__ = ("instance_id", "left_s")

    def __init__(self, instance_id, left_s):
        self.instance_id = instance_id
        self.left_s = left_s
