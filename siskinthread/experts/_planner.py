"""Planner of changes of an expert map."""

import enum

from siskinthread.experts._expert_map import ExpertMap
from siskinthread.experts._search import Search, SWAP_MOVES

MINUTES_PER_DAY = 1440


class Verdict(enum.StrEnum):
    """Why a change was planned or not."""

    MOVE = "move"
    BALANCED = "balanced"
    NOT_WORTH_IT = "not_worth_it"
    QUIET_WINDOW = "quiet_window"
    NO_BUDGET = "no_budget"


class Objective:
    """Published planning objective of a group.

    Parameters
    ----------
    skew_weight, cost_weight : float
        Weights of the saved skew and of the cost of expert moves.
    quiet_windows : list of tuple of int
        Start (inclusive) and end (exclusive) of windows without changes, minutes of the
        UTC day; a window may span midnight.
    """

    __slots__ = ("cost_weight", "quiet_windows", "skew_weight")

    def __init__(self, skew_weight=1.0, cost_weight=1.0, quiet_windows=()):
        self.skew_weight = skew_weight
        self.cost_weight = cost_weight
        self.quiet_windows = list(quiet_windows)

    def is_quiet(self, minute):
        """Return whether a minute of the UTC day lies in a quiet window."""
        minute %= MINUTES_PER_DAY
        return any(
            start <= minute < end if start <= end else not end <= minute < start
            for start, end in self.quiet_windows
        )


class Plan:
    """Result of planning.

    Parameters
    ----------
    verdict : Verdict
        Why a change was planned or not.
    expert_map : ExpertMap
        The planned map; the present map unless the verdict is ``MOVE``.
    moves : int
        Number of expert loads on ranks.
    skew_before, skew_after : float
        Predicted step-time skew of the present and the planned map.
    """

    __slots__ = ("expert_map", "moves", "skew_after", "skew_before", "verdict")

    def __init__(self, verdict, expert_map, moves, skew_before, skew_after):
        self.verdict = verdict
        self.expert_map = expert_map
        self.moves = moves
        self.skew_before = skew_before
        self.skew_after = skew_after


class Planner:
    """Plan incremental changes of the expert map of a group.

    Parameters
    ----------
    settings : PlannerSettings
        Costs, hysteresis and budget of moves.
    objective : Objective
        Published weights and quiet windows.
    """

    __slots__ = ("_budget", "_objective", "_settings")

    def __init__(self, settings, objective):
        self._settings = settings
        self._objective = objective
        self._budget = settings.moves_burst

    def set_objective(self, objective):
        """Replace the published weights and quiet windows."""
        self._objective = objective

    def plan(self, expert_map, estimates, minute):
        """Return the plan for one interval.

        Parameters
        ----------
        expert_map : ExpertMap
            The map in force.
        estimates : Estimates
            Estimated expert loads and slowness of the ranks.
        minute : int
            Minute of the UTC day, or since any UTC midnight.

        Returns
        -------
        Plan
        """
        slices = self.plan_in_slices(expert_map, estimates, minute)
        while True:
            try:
                next(slices)
            except StopIteration as finished:
                return finished.value

    def plan_in_slices(self, expert_map, estimates, minute):
        """Yield after each step of the search and return the `Plan`.

        A caller on an event loop lets other tasks run at each yield; otherwise planning
        would delay heartbeats until the plan is complete.
        """
        settings = self._settings
        self._budget = min(
            settings.moves_burst, self._budget + settings.moves_per_interval
        )
        loads, slowness = estimates.expert_loads, estimates.slowness
        before = expert_map.skew(loads, slowness)
        if self._objective.is_quiet(minute):
            return Plan(Verdict.QUIET_WINDOW, expert_map, 0, before, before)
        if self._budget < 1:
            return Plan(Verdict.NO_BUDGET, expert_map, 0, before, before)
        steps = yield from self._search_steps(expert_map, loads, slowness)
        if not steps:
            return Plan(Verdict.BALANCED, expert_map, 0, before, before)
        return self._best_plan(expert_map, estimates, steps, before)

    def _search_steps(self, expert_map, loads, slowness):
        mean_time = float((expert_map.rank_loads(loads) * slowness).mean())
        penalty = (SWAP_MOVES - 1) * self._min_gain_per_move() * mean_time
        search = Search(expert_map, loads, slowness, penalty)
        steps = []
        for _ in range(self._settings.step_limit):
            step = search.step()
            if step is None or step.moves > self._budget:
                break
            steps.append(step)
            yield
        return steps

    def _min_gain_per_move(self):
        """Return the skew that each move must save."""
        weights = self._objective.cost_weight / self._objective.skew_weight
        return self._settings.move_cost * weights

    def _best_plan(self, expert_map, estimates, steps, before):
        loads, slowness = estimates.expert_loads, estimates.slowness
        mean_time = float((expert_map.rank_loads(loads) * slowness).mean())
        price = self._min_gain_per_move()
        best = min(steps, key=lambda step: step.peak / mean_time + price * step.moves)
        after = best.peak / mean_time
        if before - after < self._settings.least_gain + price * best.moves:
            return Plan(Verdict.NOT_WORTH_IT, expert_map, 0, before, before)
        new_map = ExpertMap(
            best.slots.reshape(expert_map.slots.shape),
            expert_map.expert_count,
            expert_map.version + 1,
        )
        moves = expert_map.moves_to(new_map)
        self._budget -= moves
        return Plan(Verdict.MOVE, new_map, moves, before, after)
