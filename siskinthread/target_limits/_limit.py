"""The limit of one target, and how much of it this entry may use."""

import math


class Limit:
    """What is believed of the limit of one target.

    Parameters
    ----------
    instance_id, service_name : str
        The target and its service.
    settings : TargetLimitSettings
        How much of the limit is used.

    Attributes
    ----------
    rate_per_s : float or None
        The limit; None once it has ended.
    stated_at_s : float
        When an answer of the target stated that, monotonic seconds.
    tested_at_s : float
        When this entry last let a request through to learn whether the limit is over.
    chance : float
        What the requests of callers have earned here, from -1 to 1: where few come,
        the next one is sent with that chance, and the entry owes what is missing of it.
    allowance_count : float
        Requests that this entry's part of the limit leaves it, where many come.
    most_allowance_count : float
        The most that is saved of it.
    """

    __slots__ = (
        "_settings",
        "allowance_count",
        "chance",
        "earned_at_s",
        "ended_rate_per_s",
        "instance_id",
        "most_allowance_count",
        "rate_per_s",
        "service_name",
        "stated_at_s",
        "tested_at_s",
    )

    def __init__(self, instance_id, service_name, settings):
        self._settings = settings
        self.instance_id = instance_id
        self.service_name = service_name
        self.rate_per_s = None
        self.ended_rate_per_s = None
        self.stated_at_s = -math.inf
        self.tested_at_s = -math.inf
        self.earned_at_s = None
        self.chance = 0.0
        self.allowance_count = 0.0
        self.most_allowance_count = 1.0

    def state(self, rate_per_s, stated_at_s):
        """Take a newer statement."""
        if rate_per_s is None:
            if self.rate_per_s is None:
                # The target's return goes by when the limit ended, which each further
                # answer without one would else put off.
                return
            self.ended_rate_per_s = self.rate_per_s
        self.rate_per_s = rate_per_s
        self.stated_at_s = stated_at_s

    def is_over(self, now_s):
        """Return whether the target is like any other one again."""
        settings = self._settings
        lasts_s = settings.memory_s
        if self.rate_per_s is None:
            lasts_s = settings.doubling_s * settings.doubling_count
        return now_s - self.stated_at_s >= lasts_s

    def used_rate_per_s(self, now_s):
        """Return the requests a second that all entries together send."""
        if self.rate_per_s is not None:
            return usable_rate_per_s(self.rate_per_s, self._settings)
        # All entries returning at once would put it in need again.
        doublings = (now_s - self.stated_at_s) / self._settings.doubling_s
        return max(1.0, self.ended_rate_per_s) * 2**doublings

    def earn(self, own_per_s, asked_per_s, now_s):
        """Add what one more request of a caller entitles this entry to.

        Parameters
        ----------
        own_per_s, asked_per_s : float
            Requests a second that callers ask this entry and all entries for.
        now_s : float
            Now, monotonic seconds.

        Notes
        -----
        Each request that is asked for earns the same part of a request at the target,
        wherever it comes; so entries that are asked for little hold nothing back.  It
        fades, or what 300 entries have earned would be spent at once when more is
        asked for.  The allowance grows with time instead, which a surge does not.
        """
        settings = self._settings
        rate_per_s = self.used_rate_per_s(now_s)
        passed_s = 0.0 if self.earned_at_s is None else now_s - self.earned_at_s
        self.earned_at_s = now_s
        kept = self.chance * math.exp(-passed_s / settings.asked_memory_s)
        self.chance = min(1.0, kept + rate_per_s / asked_per_s)
        part = own_per_s / asked_per_s
        most = 1 + part * (settings.saved_count + rate_per_s * settings.saved_s)
        earned = self._part_rate_per_s(part, rate_per_s) * passed_s
        self.most_allowance_count = most
        self.allowance_count = min(most, self.allowance_count + earned)

    def _part_rate_per_s(self, part, rate_per_s):
        """Return the requests a second that a part of the limit comes to.

        The more of them one entry sends, the less is left to chance.
        """
        if self.rate_per_s is None:
            return part * rate_per_s
        sure_per_s = self._settings.used_share * self.rate_per_s
        return part * (rate_per_s + part * (sure_per_s - rate_per_s))

    def has_allowance(self, is_urgent):
        """Return whether this entry's part leaves it a request of a rank.

        Half of what is saved beyond one request is left to the most urgent ones, which
        then find a place though others ask for more than there are.
        """
        kept = 0.0 if is_urgent else (self.most_allowance_count - 1) / 2
        return self.allowance_count >= 1 + kept

    def spend(self):
        """Take away what a request that is sent costs."""
        self.chance = max(-1.0, self.chance - 1)
        self.allowance_count = max(0.0, self.allowance_count - 1)


def usable_rate_per_s(rate_per_s, settings):
    """Return the part of a limit that is used.

    The mean number of requests in a window lies so many standard deviations (of as many
    requests that come by chance) below the most that the target may get.
    """
    most = settings.excess_ratio * rate_per_s * settings.window_s
    most += settings.excess_count
    half = settings.deviation_count / 2
    # The mean m at which m + deviations * sqrt(m) is the most.
    mean = (math.sqrt(half * half + most) - half) ** 2
    return min(settings.used_share * rate_per_s, mean / settings.window_s)
