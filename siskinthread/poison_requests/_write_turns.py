"""When an entry may write what all entries know and the store lacks."""

import math

# Entries that the spread is meant for; of more, several would choose the same moment.
FLEET_COUNT = 400
# Name by which all entries find the same order.
MATTER = "suspects"


class WriteTurns:
    """Lets entries take their turns at a write that one of them should make.

    Parameters
    ----------
    settings : PoisonSettings
        Times.
    random : random.Random
        Spreads the turns of entries that have no place in the order.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerNews or None
        Tells which place this entry has in an order that all find alike.

    Notes
    -----
    Evenly drawn turns would coincide more often the more entries there are.
    """

    __slots__ = ("_random", "_settings", "peers")

    def __init__(self, settings, random):
        self._settings = settings
        self._random = random
        self.peers = None

    def wait_s(self):
        """Return how long this entry leaves the write to others, seconds."""
        settings = self._settings
        if self.peers is None or not self.peers.hears_others():
            return self._spread_s()
        turn = self.peers.turn_of(MATTER)
        if turn < settings.write_steps_limit:
            return turn * settings.write_step_s
        return settings.write_steps_limit * settings.write_step_s + self._spread_s()

    def _spread_s(self):
        """Return a random time within the spread, whose density rises exponentially.

        Few entries choose early times, so that the first one is seldom followed at
        once, whatever their number.
        """
        rate = math.log(FLEET_COUNT) + 1
        share = math.log1p(self._random.random() * math.expm1(rate)) / rate
        return self._settings.write_spread_s * share
