"""Parameters of a run of the routing model."""

import math


class Scenario:
    """Sizes, times and loads of one run; the defaults model the inspectorate.

    Parameters
    ----------
    **changes
        Values of attributes that replace the defaults.
    """

    __slots__ = (
        "capacity_count",
        "demand_shares",
        "end_s",
        "entry_counts",
        "full_batch_slowdown",
        "measured_from_s",
        "prefill_step_count",
        "report_age_s",
        "report_interval_s",
        "slow_factor",
        "slow_from_s",
        "slow_hosts",
        "slow_until_s",
        "step_s",
        "target_counts",
        "token_count_mean",
        "use",
    )

    def __init__(self, **changes):
        self.target_counts = {"trondheim-a": 6, "trondheim-b": 5, "steinkjer": 5}
        self.entry_counts = {"trondheim-a": 3, "trondheim-b": 2, "steinkjer": 2}
        self.demand_shares = {
            "trondheim-a": 0.4,
            "trondheim-b": 0.35,
            "steinkjer": 0.25,
        }
        self.capacity_count = 16
        self.step_s = 0.005
        self.full_batch_slowdown = 0.5
        self.prefill_step_count = 4
        self.token_count_mean = 100
        self.use = 0.65
        self.report_interval_s = 1.0
        self.report_age_s = 0.5
        self.slow_hosts = ("trondheim-a-0",)
        self.slow_factor = 4.0
        self.slow_from_s = 5.0
        self.slow_until_s = math.inf
        self.measured_from_s = 5.0
        self.end_s = 35.0
        for name, value in changes.items():
            setattr(self, name, value)

    def hosts(self):
        """Return the dict of target host to failure domain."""
        return {
            f"{domain}-{index}": domain
            for domain, count in self.target_counts.items()
            for index in range(count)
        }

    def slowness(self, host, now_s):
        """Return the factor on a host's step time."""
        if host not in self.slow_hosts:
            return 1.0
        is_slow = self.slow_from_s <= now_s < self.slow_until_s
        return self.slow_factor if is_slow else 1.0

    def request_rate_per_s(self):
        """Return the request rate that gives healthy targets the utilisation `use`."""
        step_s = self.step_s * (1.0 + self.full_batch_slowdown)
        service_time_s = step_s * (self.prefill_step_count + self.token_count_mean)
        slot_count = self.capacity_count * sum(self.target_counts.values())
        return self.use * slot_count / service_time_s

    def one_way_s(self, from_domain, to_domain):
        """Return the delay between two failure domains, seconds."""
        return 0.0002 if from_domain == to_domain else 0.0015
