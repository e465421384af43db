"""A group in the report of ``siskinthread experts show``."""

import datetime

from siskinthread.experts._controller import SkipReason
from siskinthread.experts._planner import Verdict

MILLISECONDS_PER_SECOND = 1000

_VERDICT_TEXTS = {
    Verdict.MOVE: "a change of the map was planned",
    Verdict.BALANCED: "no move would relieve the slowest rank",
    Verdict.NOT_WORTH_IT: "no move would save enough skew for its cost",
    Verdict.QUIET_WINDOW: "held back by a quiet window",
    Verdict.NO_BUDGET: "held back until the budget of moves allows one",
    SkipReason.MAPS_DIFFER: "not planned, the ranks report different maps",
    SkipReason.RANK_SILENT: "not planned, a rank reports nothing",
    SkipReason.RANKS_MISSING: "left alone, fewer ranks are known than the map has",
    SkipReason.RECOVERY_UNFINISHED: "a change is unfinished, the group may stand held",
}


class GroupView:
    """Summary of the answers of a group's agents.

    Parameters
    ----------
    name : str
        Name of the group.
    statuses : list of ExpertsStatus
        Answers of the agents that have ranks of the group.

    Attributes
    ----------
    claimants : list of ExpertsStatus
        Agents that act as the controller, newest claim first.
    in_force : ExpertsStatus or None
        The claimant with the highest fencing number.  None without claimants, or if any
        agent knows of a higher number, as the controller under that claim did not
        answer.
    newest_fencing : int or None
        Highest fencing number that any agent knows.
    """

    __slots__ = ("claimants", "in_force", "name", "newest_fencing")

    def __init__(self, name, statuses):
        reported = [status for status in statuses if status.fencing is not None]
        claimants = [status for status in reported if status.controls]
        self.name = name
        self.claimants = sorted(
            claimants, key=lambda status: status.fencing, reverse=True
        )
        self.newest_fencing = max((status.fencing for status in reported), default=None)
        self.in_force = None
        if claimants and self.claimants[0].fencing == self.newest_fencing:
            self.in_force = self.claimants[0]

    def lines(self, with_map):
        """Yield the lines of the report on the group."""
        yield f"group {self.name}:"
        if len(self.claimants) > 1:
            yield f"  {len(self.claimants)} agents take themselves for the controller:"
        for status in self.claimants:
            force = "in force" if status is self.in_force else "superseded"
            claim = f"fencing number {status.fencing}, {force}"
            yield f"  controller {status.host}, {claim}"
        if self.in_force is None:
            yield f"  {self._no_controller_text()}"
            return
        yield from _detail_lines(self.in_force)
        if with_map:
            yield from _map_lines(self.in_force.expert_slots)

    def as_dict(self, with_map):
        """Return the group as a dict for JSON."""
        found = {
            "group": self.name,
            "newest_fencing": self.newest_fencing,
            "controllers": [
                {
                    "host": status.host,
                    "fencing": status.fencing,
                    "in_force": status is self.in_force,
                }
                for status in self.claimants
            ],
            "state": None,
        }
        if self.in_force is not None:
            found["state"] = _state_dict(self.in_force, with_map)
        return found

    def _no_controller_text(self):
        if self.newest_fencing is None:
            return "no controller: no agent that answered knows of a claim"
        return (
            "no controller in force answered: the newest known claim has fencing "
            f"number {self.newest_fencing}"
        )


def _detail_lines(status):
    version = "unknown" if status.version is None else status.version
    yield f"  map version {version}"
    line = f"  skew {_number_text(status.skew)} in the last interval"
    if status.skew_before is not None:
        line += f"; predicted {_number_text(status.skew_before)} before the last plan"
        line += f", {_number_text(status.skew_after)} after it"
    yield line
    yield f"  last verdict: {_verdict_text(status.verdict)}"
    yield f"  pending moves: {status.pending_moves}"
    if status.result is None:
        yield "  last change: none under this controller"
    else:
        yield f"  last change: {status.result}, {_time_text(status.changed_at_ms)}"


def _map_lines(expert_slots):
    for rank, experts in enumerate(_ranks(expert_slots)):
        yield f"  rank {rank}: {' '.join(str(expert) for expert in experts)}"


def _ranks(expert_slots):
    """Return the list of experts of each rank; empty without a map."""
    if expert_slots is None:
        return []
    width, experts = expert_slots.slots_per_rank, expert_slots.experts
    return [experts[at : at + width] for at in range(0, len(experts), width)]


def _state_dict(status, with_map):
    state = {
        "version": status.version,
        "skew": status.skew,
        "skew_before": status.skew_before,
        "skew_after": status.skew_after,
        "verdict": status.verdict,
        "pending_moves": status.pending_moves,
        "changed_at_ms": status.changed_at_ms,
        "result": status.result,
    }
    if with_map:
        state["ranks"] = _ranks(status.expert_slots)
    return state


def _number_text(value):
    return "unknown" if value is None else f"{value:.3f}"


def _verdict_text(verdict):
    if verdict is None:
        return "no plan was made yet"
    # An agent of a newer release may send a verdict that is unknown here.
    return _VERDICT_TEXTS.get(verdict, verdict)


def _time_text(unix_ms):
    if unix_ms is None:
        return "time unknown"
    moment = datetime.datetime.fromtimestamp(
        unix_ms / MILLISECONDS_PER_SECOND, datetime.UTC
    )
    return f"{moment:%Y-%m-%d %H:%M:%S} UTC"
