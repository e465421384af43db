"""Schedule of the claims of a process, staggered among the candidates."""

from siskinthread.routing import home_of
from siskinthread.timing import Deadline


class ScheduledClaim:
    """A claim that this process makes at a deadline.

    Parameters
    ----------
    supersedes : int
        Fencing number of the claim to be superseded.
    deadline : Deadline
        When to claim, unless another candidate has.
    """

    __slots__ = ("deadline", "supersedes")

    def __init__(self, supersedes, deadline):
        self.supersedes = supersedes
        self.deadline = deadline


class ClaimSchedule:
    """Scheduled claims of this process, delayed by rendezvous position and jitter.

    Parameters
    ----------
    settings : OwnershipSettings
        ``claim_step_s``, the delay between two candidates.
    host : str
        Name of this host.
    clock : Clock
        Clock for the deadlines.
    random : random.Random
        Source of jitter.
    """

    __slots__ = ("_clock", "_host", "_random", "_step_s", "_claims")

    def __init__(self, settings, host, clock, random):
        self._step_s = settings.claim_step_s
        self._host = host
        self._clock = clock
        self._random = random
        self._claims = {}

    def schedule(self, group, others, supersedes):
        """Schedule a claim of a group, unless the same claim is scheduled already.

        Parameters
        ----------
        group : str
            Name of the group.
        others : iterable of str
            Other candidates that are not suspected.
        supersedes : int
            Fencing number of the claim in force.
        """
        claim = self._claims.get(group)
        if claim is not None and claim.supersedes == supersedes:
            return
        self._claims[group] = ScheduledClaim(
            supersedes, self._deadline(self._position(group, others))
        )

    def postpone(self, group):
        """Delay the next attempt of a claim, in case the answer to this one is lost."""
        self._claims[group].deadline = self._deadline(0)

    def cancel(self, group):
        """Remove the scheduled claim of a group."""
        self._claims.pop(group, None)

    def retain(self, groups):
        """Remove the scheduled claims of all groups but the given ones."""
        for group in self._claims.keys() - set(groups):
            del self._claims[group]

    def due(self):
        """Return the groups whose claims are due."""
        return [name for name, claim in self._claims.items() if claim.deadline.passed()]

    def left_s(self, limit_s):
        """Return the time until the next claim, at most `limit_s`, seconds."""
        left = [claim.deadline.left_s() for claim in self._claims.values()]
        return min([limit_s, *left])

    def _position(self, group, others):
        pairs = ([other, self._host] for other in others if other != self._host)
        return sum(home_of(pair, group) != self._host for pair in pairs)

    def _deadline(self, position):
        wait_s = (position + self._random.random()) * self._step_s
        return Deadline.after(self._clock, wait_s)
