"""Whose turn it is to claim, and when."""

from siskinthread.routing import home_of
from siskinthread.timing import Deadline


class Turn:
    """The turn of this process to claim a group.

    Parameters
    ----------
    supersedes : int
        Claim that it would supersede.
    deadline : Deadline
        When to claim unless another one has.
    """

    __slots__ = ("deadline", "supersedes")

    def __init__(self, supersedes, deadline):
        self.supersedes = supersedes
        self.deadline = deadline


class Turns:
    """The turns of this process, in rendezvous order and jittered.

    Parameters
    ----------
    settings : OwnershipSettings
        Time between two candidates.
    host : str
        This host.
    clock : Clock
        The process's clock.
    random : random.Random
        Source of the jitter.
    """

    __slots__ = ("_clock", "_host", "_random", "_step_s", "_turns")

    def __init__(self, settings, host, clock, random):
        self._step_s = settings.claim_step_s
        self._host = host
        self._clock = clock
        self._random = random
        self._turns = {}

    def wait_for(self, group, others, supersedes):
        """Wait for the own turn to claim a group, unless it's being waited for.

        Parameters
        ----------
        group : str
            Name of the group.
        others : iterable of str
            Other candidates that are not suspected.
        supersedes : int
            Claim in force.
        """
        turn = self._turns.get(group)
        if turn is not None and turn.supersedes == supersedes:
            return
        self._turns[group] = Turn(
            supersedes, self._deadline(self._place(group, others))
        )

    def put_off(self, group):
        """Wait for another step before claiming again, after an answer was lost."""
        self._turns[group].deadline = self._deadline(0)

    def drop(self, group):
        """Wait no more."""
        self._turns.pop(group, None)

    def keep(self, groups):
        """Drop the turns of all other groups."""
        for group in self._turns.keys() - set(groups):
            del self._turns[group]

    def due(self):
        """Return the groups whose turn has come."""
        return [name for name, turn in self._turns.items() if turn.deadline.passed()]

    def left_s(self, limit_s):
        """Return the time until the next turn, at most a limit, seconds."""
        left = [turn.deadline.left_s() for turn in self._turns.values()]
        return min([limit_s, *left])

    def _place(self, group, others):
        pairs = ([other, self._host] for other in others if other != self._host)
        return sum(home_of(pair, group) != self._host for pair in pairs)

    def _deadline(self, place):
        wait_s = (place + self._random.random()) * self._step_s
        return Deadline.after(self._clock, wait_s)
