"""Demand of failure domains that have fallen silent as a whole."""

import random

from siskinthread.peer_news import (
    HostState,
    PeerGossip,
    PeerGossipSettings,
    PeerMessage,
)
from siskinthread.settings import Address
from siskinthread.timing import ManualClock

SETTINGS = PeerGossipSettings()


class Receiver:
    """A host in domain a, and the messages that it receives."""

    def __init__(self):
        self.clock = ManualClock()
        self.gossip = PeerGossip(
            SETTINGS, Address("10.0.0.1", 1), "a", [], self.clock, random.Random(1)
        )

    def receive(self, number, domain, rate_per_s, is_sum=False):
        """Receive the message of one host."""
        rates = {"app": rate_per_s}
        state = HostState(1, True, {}, asked_rates=rates, is_domain_sum=is_sum)
        self.gossip._receive(
            PeerMessage(Address("10.0.0.1", number), domain, state, [])
        )

    def demand(self):
        """Return the demand of the fresh peers and of the silent domains."""
        return self.gossip.asked_per_s("app"), self.gossip.silent_asked_per_s("app")


def test_silent_domain_counts_until_its_hosts_are_forgotten():
    """Guards against each side of a cut using all of a target's limit."""
    receiver = Receiver()
    receiver.receive(2, "b", 2.0)
    receiver.receive(3, "b", 3.0)
    receiver.receive(4, "c", 7.0)
    assert receiver.demand() == (12.0, 0.0)
    receiver.clock.advance(SETTINGS.fresh_limit_s + 0.1)
    receiver.receive(4, "c", 8.0)
    assert receiver.demand() == (8.0, 5.0)
    # The cut ends.
    receiver.receive(2, "b", 4.0)
    assert receiver.demand() == (12.0, 0.0)
    receiver.clock.advance(SETTINGS.forget_after_s + 0.1)
    receiver.gossip._forget_silent_peers()
    assert receiver.demand() == (0.0, 0.0)


def test_silent_host_of_a_reachable_domain_does_not_count():
    """Guards against counting the callers of a killed host twice.

    They move to other hosts, so that the last rates of the killed host must be dropped.
    """
    receiver = Receiver()
    receiver.receive(2, "b", 2.0)
    receiver.clock.advance(SETTINGS.fresh_limit_s + 0.1)
    receiver.receive(3, "b", 3.0)
    assert receiver.demand() == (3.0, 0.0)
    # Host 2 had been silent already when the domain fell silent.
    receiver.clock.advance(SETTINGS.fresh_limit_s + 0.1)
    assert receiver.demand() == (0.0, 3.0)


def test_silent_domain_counts_with_its_newest_sum():
    """Guards against counting hosts of a domain beside the sum that includes them."""
    receiver = Receiver()
    receiver.receive(2, "b", 2.0)
    receiver.receive(3, "b", 9.0, is_sum=True)
    receiver.receive(4, "b", 8.0, is_sum=True)
    receiver.clock.advance(SETTINGS.fresh_limit_s + 0.1)
    assert receiver.demand()[1] in (8.0, 9.0)
