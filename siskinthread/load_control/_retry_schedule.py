"""Schedules the retries of refused callers.

In a shortage of a few seconds, refused callers would otherwise all retry at the same
moment and be refused finally, and callers that retry at once would take the slots of
those that wait as they were told. Some callers are therefore promised a slot, spread
over the time that they accept, and have precedence over first attempts when they retry.
The others are told the latest time that they accept, and get the slots that first
attempts leave.
"""

import math

# Minimum number of slots in the span of steps that share them if a step has more than
# one slot. A fractional slot would otherwise be lost in each step: about half of the
# slots at 1.9 per step.
SHARED_SLOT_COUNT = 4


class RetrySchedule:
    """Counts the retry slots promised to the callers of one service, by time step.

    Parameters
    ----------
    settings : ReturnSettings
        Steps and limits.
    clock : siskinthread.timing.Clock
        Clock of the steps.

    Attributes
    ----------
    broken_count : int
        Callers that have not retried when they were due.

    Notes
    -----
    A caller may retry at any host. All hosts refuse about the same number of callers,
    so on average as many retries come to a host as it has promised, and its own
    schedule describes the retries that come to it. The number within one step varies,
    so a promise is valid for some seconds, and some retries beyond the promised ones
    are accepted.
    """

    __slots__ = (
        "_clock",
        "_kept_share",
        "_settings",
        "_steps",
        "_unpromised_at_s",
        "broken_count",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        # Number of callers by step and priority.
        self._steps = {}
        # Monotonic times of retries accepted beyond the promises of this host, oldest
        # first.
        self._unpromised_at_s = []
        self._kept_share = 1.0
        self.broken_count = 0

    def book(self, priority, earliest_s, latest_s, rate_per_s, in_time_per_s=0.0):
        """Promise a caller a slot in the first step with a free one.

        Parameters
        ----------
        priority : int
            Rank of its request, 0 first. Retries of less urgent requests take no slot
            from it: they wait.
        earliest_s, latest_s : float
            Bounds of the promised time, seconds from now.
        rate_per_s : float
            Requests per second that this host can send to targets.
        in_time_per_s : float
            Current rate of requests that can still meet their objective, per second.

        Returns
        -------
        ScheduledRetry or None
            None if no step has a free slot; nothing is recorded then.
        """
        self._drop_expired()
        if latest_s < earliest_s:
            return None
        now_s = self._clock.monotonic_s()
        first = self._step_of(now_s + earliest_s)
        last = max(first, self._step_of(now_s + latest_s))
        steps = range(first, last + 1)
        promisable_per_s = (
            self._promisable_per_s(rate_per_s, in_time_per_s) / self._kept_share
        )
        chosen = next(
            (
                step
                for step in steps
                if self._has_free_slot(step, priority, promisable_per_s)
            ),
            None,
        )
        if chosen is None:
            return None
        counts = self._steps.setdefault(chosen, {})
        counts[priority] = counts.get(priority, 0) + 1
        begin_s = chosen * self._settings.step_s - now_s
        return ScheduledRetry(max(0.0, begin_s))

    def note_came(self, priority):
        """Record a retry that may have a promise, and return whether a slot is due.

        The promise that is due first is removed. If none is due, another host may have
        made it, so a few retries beyond the promised ones are accepted.
        """
        self._drop_expired()
        latest = self._step_of(self._clock.monotonic_s() + self._settings.late_s)
        for step in sorted(self._steps):
            if step > latest:
                break
            if self._steps[step].get(priority):
                self._remove(step, priority)
                self._update_kept_share(1.0)
                return True
        if len(self._unpromised_at_s) >= self._settings.overdraft_limit:
            return False
        self._unpromised_at_s.append(self._clock.monotonic_s())
        return True

    def due_count(self, priority, ahead_s):
        """Return how many retries are expected within some seconds.

        Parameters
        ----------
        priority : int
            Only retries with precedence over first attempts of this rank count.
        ahead_s : float
            Length of the period, seconds.
        """
        if not self._steps:
            return 0.0
        first = self._step_of(self._clock.monotonic_s())
        step_count = max(1, round(ahead_s / self._settings.step_s))
        steps = range(first, first + step_count)
        booked = sum(self._count(step, priority) for step in steps)
        return booked * self._kept_share

    def leaves_room(self, priority, free_count, ending_per_s, usual_s):
        """Return whether a first attempt can have a slot besides the due retries.

        Parameters
        ----------
        priority : int
            Rank of the first attempt, 0 first.
        free_count : float
            Free slots in the share of this host.
        ending_per_s : float
            Slots of that share that become free per second.
        usual_s : float
            How long the request holds its slot, seconds.
        """
        if not self._steps:
            return True
        settings = self._settings
        ahead_s = min(usual_s, settings.room_ahead_s)
        step_count = max(1, math.floor(ahead_s / settings.step_s))
        for number in range(1, step_count + 1):
            ahead_s = number * settings.step_s
            due_count = self.due_count(priority, ahead_s)
            if due_count and free_count + ending_per_s * ahead_s - due_count < 1:
                return False
        return True

    def booked_count(self):
        """Return the number of promised retries that are outstanding."""
        return sum(sum(counts.values()) for counts in self._steps.values())

    @property
    def kept_share(self):
        """Smoothed fraction of callers that retry when they are due."""
        return self._kept_share

    def _promisable_per_s(self, rate_per_s, in_time_per_s):
        """Return how many slots per second may be promised.

        A slot for a late answer that makes another answer late has no benefit, so only
        few are promised while callers request more than targets serve.
        """
        settings = self._settings
        most_per_s = rate_per_s * settings.booked_share
        least_per_s = min(most_per_s, rate_per_s * settings.booked_least_share)
        return min(most_per_s, max(least_per_s, rate_per_s - in_time_per_s))

    def _has_free_slot(self, step, priority, promisable_per_s):
        """Return whether a step has a free slot for one more caller.

        If few slots become free per step, several steps share them, so that no
        fractional slots are lost.
        """
        step_slots = promisable_per_s * self._settings.step_s
        if step_slots <= 0 or self._count(step, priority) + 1 > math.ceil(step_slots):
            return False
        shared_count = 1 if step_slots < 1 else SHARED_SLOT_COUNT
        span = math.ceil(shared_count / step_slots)
        booked = sum(
            self._count(number, priority) for number in range(step - span + 1, step + 1)
        )
        return booked + 1 <= max(1.0, step_slots * span)

    def _count(self, step, priority):
        counts = self._steps.get(step)
        if not counts:
            return 0
        return sum(count for rank, count in counts.items() if rank <= priority)

    def _step_of(self, at_s):
        return math.floor(at_s / self._settings.step_s)

    def _remove(self, step, priority):
        counts = self._steps[step]
        counts[priority] -= 1
        if not counts[priority]:
            del counts[priority]
        if not counts:
            del self._steps[step]

    def _drop_expired(self):
        """Remove expired promises, and count their callers as not retrying."""
        oldest_s = self._clock.monotonic_s() - self._settings.promise_memory_s
        self._unpromised_at_s = [
            at_s for at_s in self._unpromised_at_s if at_s > oldest_s
        ]
        oldest = self._step_of(oldest_s) - 1
        for step in [number for number in self._steps if number < oldest]:
            for _ in range(sum(self._steps.pop(step).values())):
                self.broken_count += 1
                self._update_kept_share(0.0)

    def _update_kept_share(self, value):
        weight = 1 / self._settings.kept_memory_count
        share = self._kept_share + weight * (value - self._kept_share)
        self._kept_share = max(self._settings.kept_least_share, share)


class ScheduledRetry:
    """Time of a promised retry.

    Parameters
    ----------
    begin_s : float
        Start of its step, seconds from now.
    """

    __slots__ = ("begin_s",)

    def __init__(self, begin_s):
        self.begin_s = begin_s
