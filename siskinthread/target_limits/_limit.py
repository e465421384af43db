"""The rate limit of one target, and how much of it this host may use."""

import math


class Limit:
    """Known state of the rate limit of one target.

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
        When an answer of the target stated the limit or its end, monotonic seconds.
    tested_at_s : float
        When this host last sent a request to learn whether the limit has ended.
    credit : float
        Requests that callers' requests have earned, from -1 to 1.  At a low request
        rate the next request is sent with this probability; a request that is sent
        for less than 1 leaves a debt.
    allowance_count : float
        Requests that this host may send by its share of the limit; used at a high
        request rate.
    max_allowance_count : float
        Maximum of the allowance.
    """

    __slots__ = (
        "_settings",
        "allowance_count",
        "credit",
        "accrued_at_s",
        "ended_rate_per_s",
        "instance_id",
        "max_allowance_count",
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
        self.accrued_at_s = None
        self.credit = 0.0
        self.allowance_count = 0.0
        self.max_allowance_count = 1.0

    def update(self, rate_per_s, stated_at_s):
        """Apply a newer statement."""
        if rate_per_s is None:
            if self.rate_per_s is None:
                # Each answer without a limit repeats the end of the limit. The rate
                # after the end doubles from `stated_at_s` on, which a repetition must
                # not delay.
                return
            self.ended_rate_per_s = self.rate_per_s
        self.rate_per_s = rate_per_s
        self.stated_at_s = stated_at_s

    def is_expired(self, now_s):
        """Return whether the target is unrestricted again."""
        settings = self._settings
        lasts_s = settings.memory_s
        if self.rate_per_s is None:
            lasts_s = settings.doubling_s * settings.doubling_count
        return now_s - self.stated_at_s >= lasts_s

    def used_rate_per_s(self, now_s):
        """Return the requests a second that all hosts together may send."""
        if self.rate_per_s is not None:
            return usable_rate_per_s(self.rate_per_s, self._settings)
        # All hosts resuming at the full rate would overload the target again.
        doublings = (now_s - self.stated_at_s) / self._settings.doubling_s
        return max(1.0, self.ended_rate_per_s) * 2**doublings

    def accrue(self, own_per_s, asked_per_s, now_s):
        """Add what one more request of a caller entitles this host to.

        Parameters
        ----------
        own_per_s, asked_per_s : float
            Requests a second of the callers of this host and of all hosts.
        now_s : float
            Now, monotonic seconds.

        Notes
        -----
        Each request of a caller earns the same fraction of a request to the target, on
        whichever host it arrives, so hosts with few requests hold no unused share.  The
        credit decays; otherwise what 300 hosts have earned would be spent at once when
        the demand rises.  The allowance grows with time instead of with requests, so a
        surge does not increase it.
        """
        settings = self._settings
        rate_per_s = self.used_rate_per_s(now_s)
        passed_s = 0.0 if self.accrued_at_s is None else now_s - self.accrued_at_s
        self.accrued_at_s = now_s
        kept = self.credit * math.exp(-passed_s / settings.asked_memory_s)
        self.credit = min(1.0, kept + rate_per_s / asked_per_s)
        share = own_per_s / asked_per_s
        most = 1 + share * (settings.saved_count + rate_per_s * settings.saved_s)
        earned = self._share_rate_per_s(share, rate_per_s) * passed_s
        self.max_allowance_count = most
        self.allowance_count = min(most, self.allowance_count + earned)

    def _share_rate_per_s(self, share, rate_per_s):
        """Return the request rate of a share of the limit.

        The larger the share of one host, the smaller the random variation that the
        usable rate has to allow for.
        """
        if self.rate_per_s is None:
            return share * rate_per_s
        sure_per_s = self._settings.used_share * self.rate_per_s
        return share * (rate_per_s + share * (sure_per_s - rate_per_s))

    def has_allowance(self, is_urgent):
        """Return whether the allowance permits a request now.

        Half of the allowance beyond one request is reserved for the most urgent
        requests, so that they are sent although the demand exceeds the limit.
        """
        kept = 0.0 if is_urgent else (self.max_allowance_count - 1) / 2
        return self.allowance_count >= 1 + kept

    def spend(self):
        """Subtract the cost of a request that is sent."""
        self.credit = max(-1.0, self.credit - 1)
        self.allowance_count = max(0.0, self.allowance_count - 1)


def usable_rate_per_s(rate_per_s, settings):
    """Return the part of a rate limit that is used, requests a second.

    The mean number of requests in a window lies `deviation_count` standard deviations
    below the maximum that the target may get.  The requests are taken to arrive at
    random, so that the variance equals the mean.
    """
    most = settings.excess_ratio * rate_per_s * settings.window_s
    most += settings.excess_count
    half = settings.deviation_count / 2
    # The mean m with m + deviation_count * sqrt(m) = most.
    mean = (math.sqrt(half * half + most) - half) ** 2
    return min(settings.used_share * rate_per_s, mean / settings.window_s)
