"""The report of ``siskinthread experts show``."""

import collections
import json

from siskinthread.experts._controller import SkipReason
from siskinthread.experts._group_view import GroupView

HEALTHY = 0
NOT_CONTROLLED = 3
NO_ANSWER = 4
SHOWN_HOST_LIMIT = 5


class ExpertsReport:
    """Controllers of the groups and their last changes.

    Parameters
    ----------
    answers : list of HostAnswer
        Answers of all queried agents.
    group : str
        Group to which the query was limited; empty for all.

    Attributes
    ----------
    groups : list of GroupView
        Groups of which any agent answered, by name.
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
        """Exit code of the command.

        0 if each group has one controller without an unfinished recovery, 3 if not, and
        4 if an agent gave no answer.

        Notes
        -----
        As with ``siskinthread status``, a missing answer of a leaving host is no error.
        """
        if self._group and not self.groups:
            return NOT_CONTROLLED
        if not all(_is_healthy(group) for group in self.groups):
            return NOT_CONTROLLED
        silent = [answer for answer in self._silent() if not answer.entry.leaving]
        return NO_ANSWER if silent else HEALTHY

    def render(self, as_json, with_map=False):
        """Return the report as text or as a JSON object."""
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
        for answer in silent[:SHOWN_HOST_LIMIT]:
            leaving = " (leaving)" if answer.entry.leaving else ""
            yield f"  {answer.entry.host}{leaving}: {answer.problem}"
        if len(silent) > SHOWN_HOST_LIMIT:
            yield f"  and {len(silent) - SHOWN_HOST_LIMIT} more"

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


def _is_healthy(group):
    if group.in_force is None or len(group.claimants) != 1:
        return False
    return group.in_force.verdict != SkipReason.RECOVERY_UNFINISHED
