"""Runs of requests on servers, by request id."""

import collections

from scripts.soak._records import STABLE_WINDOW_S


class Runs:
    """Runs of all servers by request id.

    Parameters
    ----------
    records : Records
        Records of a soak run.
    """

    __slots__ = ("_by_id", "_records")

    def __init__(self, records):
        self._records = records
        self._by_id = collections.defaultdict(list)
        for instance_id, runs in records.runs.items():
            for run in runs:
                self._by_id[run["request_id"]].append((instance_id, run))

    def of(self, call):
        """Return pairs of instance id and run for each execution of a call."""
        return [pair for pair in self._by_id[call.request_id] if pair[1]["ran"]]

    def arrived(self, call):
        """Return pairs of instance id and run for each arrival, executed or not."""
        return list(self._by_id[call.request_id])

    def answered_undisturbed(self, call):
        """Return the executions that an undisturbed server answered completely."""
        return [
            (instance_id, run)
            for instance_id, run in self.of(call)
            if run["answered"]
            and self._records.disruptions.is_stable(
                ("server", self._records.server_of[instance_id]),
                run["arrived_s"],
                run["ended_s"] + STABLE_WINDOW_S,
            )
        ]
