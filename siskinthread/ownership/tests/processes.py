"""Processes that claim a group, on a shared manual clock."""

import random

from siskinthread.configuration import ConfigurationSettings
from siskinthread.experts.tests._explorer import run_to_end
from siskinthread.observability import Metrics
from siskinthread.ownership import Claimer, OwnershipSettings, OwnershipView
from siskinthread.ownership.tests.fakes import PLATFORM

GROUP = "g"


class Suspects:
    """Fake of `Liveness` that suspects a given set of hosts."""

    def __init__(self):
        self.hosts = set()

    def is_suspected(self, host):
        return host in self.hosts


class Process:
    """One agent of the group.

    Parameters
    ----------
    logs : FakeLogs
        The log.
    host : str
        Name of the agent's host, also used to seed its jitter.
    hosts : list of str
        Hosts of all agents of the group.
    suspects : Suspects
        Suspected hosts, shared by all processes.
    incarnation : str
        Incarnation of the process on its host.
    """

    def __init__(self, logs, host, hosts, suspects, incarnation="1"):
        self.host = host
        self.view = OwnershipView()
        self.metrics = Metrics()
        self.claimer = Claimer(
            logs,
            self.view,
            PLATFORM,
            ConfigurationSettings(),
            OwnershipSettings(),
            host,
            incarnation,
            lambda: {GROUP: hosts},
            suspects,
            logs.clock,
            self.metrics,
            random.Random(f"{host}/{incarnation}"),
        )

    def step(self):
        return run_to_end(self.claimer.step())

    def confirm(self):
        return run_to_end(self.claimer.confirm(GROUP))

    def owns(self):
        return self.claimer._own_fencing(GROUP) is not None

    def count(self, event):
        name = "siskinthread_ownership_events_total"
        return self.metrics.registry.get_sample_value(name, {"event": event}) or 0


def make_processes(logs, hosts):
    """Return a process for each host, and their shared `Suspects`."""
    suspects = Suspects()
    return [Process(logs, host, hosts, suspects) for host in hosts], suspects


def run_for(processes, clock, seconds, step_s=0.25):
    """Advance the clock in steps and run every process at each step."""
    for _ in range(int(seconds / step_s)):
        clock.advance(step_s)
        for process in processes:
            process.step()


def owners_seen(processes):
    """Return the set of owners in the views of the processes."""
    return {process.view.owner(GROUP) for process in processes}
