"""A node that follows a fake log, for tests."""

import random

import curio

from siskinthread.configuration import ConfigurationSettings, ConfigurationView
from siskinthread.configuration._follower import LogFollower
from siskinthread.configuration.tests.fakes import (
    body,
    FakeLog,
    first_objects,
    host,
    START_MS,
)
from siskinthread.observability import Metrics
from siskinthread.settings import Address
from siskinthread.shared_services import PlatformSettings
from siskinthread.timing import ManualClock

PLATFORM = PlatformSettings(
    log=Address("127.0.0.1", 1), host_list=Address("127.0.0.1", 2), log_poll_wait_s=0.0
)


class Node:
    """A follower with its view and a manual clock."""

    def __init__(self, log, known_format=1, peers=None, **settings):
        self.clock = ManualClock(unix_ms=START_MS)
        self.view = ConfigurationView()
        self.metrics = Metrics()
        self.follower = LogFollower(
            log,
            self.view,
            PLATFORM,
            self.clock,
            self.metrics,
            ConfigurationSettings(**settings),
            random.Random(1),
            known_format,
            peers,
        )

    @property
    def version(self):
        return None if self.view.state is None else self.view.state.version

    @property
    def fold(self):
        return self.follower._reader.fold

    def step(self, steps=1):
        for _ in range(steps):
            pause_s = curio.run(self.follower.step)
        return pause_s

    def troubles(self, condition):
        name = "siskinthread_configuration_log_troubles_total"
        return self.metrics.registry.get_sample_value(name, {"condition": condition})


def changed_log(changes):
    log = FakeLog()
    log.put(body("r0", -1, first_objects()))
    for version in range(changes - 1):
        log.put(body(f"r{version + 1}", version, [host("h9", v=str(version))]))
    return log
