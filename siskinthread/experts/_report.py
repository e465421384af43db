"""The report of ``siskinthread experts show``."""

import collections
import json

from siskinthread.experts._controller import Hindrance
from siskinthread.experts._group_view import GroupView

FINE = 0
NOT_CONTROLLED = 3
NO_ANSWER = 4
NAMES_SHOWN = 5


class ExpertsReport:
    """Who controls which group, and what the controllers last did.

    Parameters
    ----------
    answers : list of HostAnswer
        All agents that were asked.
    group : str
        The one group that was asked about; empty for all.
    """

    __slots__ = ("_answers", "_group", "groups")

    def __init__(self, answers, group=""):
        self._answers = answers
        self._group = group
        statuses = collections.defaultdict(list)
        for answer in answers:
            if answer.status is not None and answer.status.group:
                statuses[answer.status.group].append(answer.status)
        self.groups = [GroupView(name, statuses[name]) for name in sorted(statuses)]

    @property
    def exit_code(self):
        """0 if each group has one sound controller; 3 if not; 4 if an agent is silent.

        Notes
        -----
        As with ``siskinthread status``, silence of a host that leaves is no fault.
        """
        if self._group and not self.groups:
            return NOT_CONTROLLED
        if not all(_is_sound(group) for group in self.groups):
            return NOT_CONTROLLED
        silent = [answer for answer in self._silent() if not answer.entry.leaving]
        return NO_ANSWER if silent else FINE

    def render(self, as_json, with_map=False):
        """Return the report as text, or as one JSON object."""
        if as_json:
            return json.dumps(self._as_dict(with_map), indent=2)
        return "\n".join(self._lines(with_map))

    def _silent(self):
        return [answer for answer in self._answers if answer.status is None]

    def _lines(self, with_map):
        if not self.groups:
            group = f"group {self._group}" if self._group else "any group"
            yield f"No agent that answered has a rank of {group}."
        for group in self.groups:
            yield from group.lines(with_map)
        silent = self._silent()
        if silent:
            yield f"no answer from {len(silent)} of {len(self._answers)} agents:"
        for answer in silent[:NAMES_SHOWN]:
            leaving = " (leaving)" if answer.entry.leaving else ""
            yield f"  {answer.entry.host}{leaving}: {answer.problem}"
        if len(silent) > NAMES_SHOWN:
            yield f"  and {len(silent) - NAMES_SHOWN} more"

    def _as_dict(self, with_map):
        return {
            "exit_code": self.exit_code,
            "groups": [group.as_dict(with_map) for group in self.groups],
            "no_answer": [
                {
                    "host": answer.entry.host,
                    "leaving": answer.entry.leaving,
                    "problem": answer.problem,
                }
                for answer in self._silent()
            ],
        }


def _is_sound(group):
    if group.in_force is None or len(group.claimants) != 1:
        return False
    return group.in_force.verdict != Hindrance.RECOVERY_UNFINISHED
