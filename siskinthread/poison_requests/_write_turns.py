"""When a host may write records that all hosts know and the store lacks."""

import math

# Number of hosts for which the spread is sized; with more, several choose the same
# time.
SPREAD_HOST_COUNT = 400
# Name of the order of hosts, which is the same on all hosts.
ORDER_NAME = "suspects"


class WriteTurns:
    """Lets hosts take turns at a write that one of them should make.

    Parameters
    ----------
    settings : PoisonSettings
        Times.
    random : random.Random
        Spreads the turns of hosts without a position in the order.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Provides this host's position in an order that is the same on all hosts.

    Notes
    -----
    With uniformly random turns, collisions would become more frequent with the number
    of hosts.
    """

    __slots__ = ("_random", "_settings", "peers")

    def __init__(self, settings, random):
        self._settings = settings
        self._random = random
        self.peers = None

    def wait_s(self):
        """Return how long this host leaves the write to others, seconds."""
        settings = self._settings
        if self.peers is None or not self.peers.has_peers():
            return self._spread_s()
        turn = self.peers.rendezvous_position(ORDER_NAME)
        if turn < settings.write_steps_limit:
            return turn * settings.write_step_s
        return settings.write_steps_limit * settings.write_step_s + self._spread_s()

    def _spread_s(self):
        """Return a random time within the spread, with exponentially rising density.

        Few hosts choose early times, so the first one is seldom followed at once,
        whatever the number of hosts.
        """
        rate = math.log(SPREAD_HOST_COUNT) + 1
        share = math.log1p(self._random.random() * math.expm1(rate)) / rate
        return self._settings.write_spread_s * share
