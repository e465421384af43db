"""Checks by connecting to targets whether their failure domain is reachable."""

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.gateway._target_connection import TargetConnection
from siskinthread.timing import Deadline


class ReachabilityChecks:
    """Checks failure domains that are unreachable, or suspected to be.

    Parameters
    ----------
    parts : GatewayParts
        Targets, and the circuit breakers of their failure domains.

    Notes
    -----
    A check is a connection without a request; a caller's request would be delayed by
    the connect time-out.
    """

    __slots__ = ("_parts", "_woken")

    def __init__(self, parts):
        self._parts = parts
        self._woken = curio.Event()

    async def run(self):
        """Make the checks that are due, until cancelled."""
        reachability = self._parts.reachability
        while True:
            self._woken.clear()
            for failure_domain, count in reachability.due_checks().items():
                for entry in self._sample(failure_domain, count):
                    await curio.spawn(self._check, entry, daemon=True)
            wait_s = reachability.next_check_s()
            if wait_s is None:
                await self._woken.wait()
            else:
                await curio.ignore_after(wait_s, self._woken.wait)

    async def note_unreachable(self, entry):
        """Note a failure to connect to a target, and schedule checks."""
        target_count = len(self._targets_of(entry.failure_domain))
        self._parts.reachability.note_unreachable(entry, target_count)
        await self._woken.set()

    def note_reached(self, failure_domain):
        """Note that a target of a failure domain answered or accepted a connection."""
        if not self._parts.reachability.note_reached(failure_domain):
            return
        for entry in self._targets_of(failure_domain):
            # The targets were ejected for the time-outs that the partition caused.
            self._parts.health.forget(entry.instance_id)

    def _targets_of(self, failure_domain):
        return [
            entry
            for entry in self._parts.targets.entries()
            if entry.failure_domain == failure_domain and not entry.is_leaving
        ]

    def _sample(self, failure_domain, count):
        """Return at most `count` targets to check, drawn at random."""
        if failure_domain in self._parts.targets.evacuated_domains():
            return []
        targets = self._targets_of(failure_domain)
        return self._parts.random.sample(targets, min(count, len(targets)))

    async def _check(self, entry):
        connection = TargetConnection(self._parts.settings, self._parts.clock)
        wait_s = self._parts.settings.connect_limit_s
        deadline = Deadline.after(self._parts.clock, wait_s)
        try:
            await connection.open(entry.host, entry.port, deadline)
        except ConnectionLostError:
            await self.note_unreachable(entry)
            return
        self.note_reached(entry.failure_domain)
        await connection.close()
