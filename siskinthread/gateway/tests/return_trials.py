"""Simulation of refused callers in overloads and outages; prints a table of results.

Run it with ``python -m``.  Arguments are settings of load control or returns, such as
``late_gives_way=False`` or ``booked_share=0.1``; ``hosts=12`` sets the number of hosts.
"""

import random
import sys

from siskinthread.gateway.tests.load_replay import Call, OBJECTIVE_S, Replay, settings
from siskinthread.load_control import LoadControlSettings, ReturnSettings

SEEDS = (1, 2, 3)
# Sixteen slots with a service time of 0.2 s.
CAPACITY_PER_S = 80.0
BURST_S = (2.0, 7.0)
COLUMNS = ("burst served", "served", "first return", "promised", "kept", "again")
COLUMNS += ("in time", "worth 1/4", "worth 1/2")


class Load:
    """Callers and targets of one trial.

    Parameters
    ----------
    name : str
        Name in the table.
    burst_load : float
        Request rate in the burst as a multiple of the capacity; 0 for an outage.
    immediate_retry_share : float
        Share of the callers that ignore the announced delay and retry immediately.
    down_s : float
        Duration of the outage, seconds.
    """

    def __init__(self, name, burst_load=0.0, immediate_retry_share=0.0, down_s=0.0):
        self.name = name
        self.burst_load = burst_load
        self.immediate_retry_share = immediate_retry_share
        self.down_s = down_s

    def calls(self, seed):
        """Return the calls of a seed."""
        if self.down_s:
            end_s = 8.0 + self.down_s
            return [Call(0.04 * number, 8.0) for number in range(int(end_s * 25))]
        rng = random.Random(seed)
        calls = []
        at_s = 0.0
        while at_s < 12.0:
            is_burst = BURST_S[0] <= at_s < BURST_S[1]
            at_s += rng.expovariate(
                CAPACITY_PER_S * (self.burst_load if is_burst else 0.5)
            )
            calls.append(
                Call(
                    at_s, 8.0, respects_delay=rng.random() >= self.immediate_retry_share
                )
            )
        return calls

    def run(self, seed, host_settings, host_count=1, delay_s=0.1):
        """Run the calls of a seed; return them with their results."""
        calls = self.calls(seed)
        if self.down_s:
            down = (1.0, 1.0 + self.down_s)
            one = Replay(host_settings, 8, 6, 1.5, down, host_count, delay_s, seed)
        else:
            one = Replay(
                host_settings, 4, 4, 0.2, (0.0, 0.0), host_count, delay_s, seed
            )
        one.run(calls, 24.0)
        return calls


LOADS = (
    Load("twice", 2.0),
    Load("twice, 0.3 retry at once", 2.0, 0.3),
    Load("1.3 times", 1.3),
    Load("1.3 times, 0.3 retry at once", 1.3, 0.3),
    Load("outage of 4 s", down_s=4.0),
    Load("outage of 6.5 s", down_s=6.5),
)


class CallResults:
    """Results of the calls of a trial.

    Attributes
    ----------
    served, in_time, refused_again : float
        Shares of all calls.
    burst_served : float
        Share of served calls among those that arrived in the burst.
    first_return : float
        Share of served calls among those that retried after the announced delay.
    promised : float
        Share of these retries for which a place was booked.
    promised_served : float
        Share of served calls among those with a booked place.
    """

    def __init__(self, calls):
        self.served = _share(calls, _is_served)
        self.in_time = _share(calls, _is_in_time)
        self.refused_again = _share(calls, _is_refused_again)
        burst = [one for one in calls if BURST_S[0] <= one.at_s < BURST_S[1]]
        self.burst_served = _share(burst, _is_served)
        returns = [one for one in calls if one.respects_delay and one.try_count == 2]
        promised = [one for one in returns if one.is_promised]
        self.first_return = _share(returns, _is_served)
        self.promised = len(promised) / max(1, len(returns))
        self.promised_served = _share(promised, _is_served)

    def worth(self, late_worth):
        """Return the value of the answers per call.

        Parameters
        ----------
        late_worth : float
            Value of a late answer; an answer in time has the value 1.
        """
        return self.in_time + late_worth * (self.served - self.in_time)

    def row(self):
        """Return the columns of the table."""
        shares = (self.burst_served, self.served, self.first_return, self.promised)
        shares += (self.promised_served, self.refused_again, self.in_time)
        return [*shares, self.worth(0.25), self.worth(0.5)]


def _share(calls, predicate):
    return sum(map(predicate, calls)) / max(1, len(calls))


def _is_served(call):
    return call.result == "served"


def _is_in_time(call):
    return _is_served(call) and call.started_at_s - call.at_s <= OBJECTIVE_S


def _is_refused_again(call):
    return call.try_count == 2 and call.respects_delay and call.result == "refused"


def mean_row(load, host_settings, host_count, seeds=SEEDS):
    """Return the columns of the table as means over seeds."""
    rows = [
        CallResults(load.run(seed, host_settings, host_count)).row() for seed in seeds
    ]
    return [sum(column) / len(rows) for column in zip(*rows, strict=True)]


def trial_settings(options):
    """Return settings of hosts from options such as ``late_gives_way=False``."""
    values = {}
    for option in options:
        name, _, value = option.partition("=")
        values[name] = value == "True" if value in ("True", "False") else float(value)
    control = {key: value for key, value in values.items() if _is_of_control(key)}
    returns = {key: value for key, value in values.items() if not _is_of_control(key)}
    return settings(
        load_control=LoadControlSettings(**control), returns=ReturnSettings(**returns)
    )


def _is_of_control(name):
    return hasattr(LoadControlSettings(), name)


def main(options):
    """Print the table for each number of hosts."""
    host_counts = [int(one[6:]) for one in options if one.startswith("hosts=")]
    host_settings = trial_settings(one for one in options if one[:6] != "hosts=")
    for host_count in host_counts or (1, 4):
        print(f"\n| {host_count} hosts | " + " | ".join(COLUMNS) + " |")
        print("|" + " --- |" * (1 + len(COLUMNS)))
        for load in LOADS:
            row = mean_row(load, host_settings, host_count)
            print(f"| {load.name} | " + " | ".join(f"{one:.3f}" for one in row) + " |")


if __name__ == "__main__":
    main(sys.argv[1:])
