"""Tasks of an agent for the model group whose rank runs on its host."""

import functools

import curio

from siskinthread.audit import map_entry
from siskinthread.daemons._experts_status import group_status, no_group_status
from siskinthread.experts import Controller, Objective, RankService, RemoteRanks
from siskinthread.ownership import Claimer, Heartbeats, Liveness, OwnershipView
from siskinthread.settings import Address


class GroupDuties:
    """Rank service, claims of the group, and its controller while the group is owned.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the process.
    identity : Identity
        Identity of this process.
    view : ConfigurationView
        Configuration in force.
    membership : MembershipView
        Addresses of the other agents.
    client : LogClient
        Client of the log.
    recorder : Recorder
        Records map changes in the audit trail.
    clock : Clock
        Clock of the process.
    metrics : Metrics
        Metrics of the process.
    """

    __slots__ = (
        "_claimer",
        "_clock",
        "_controller",
        "_identity",
        "_membership",
        "_owners",
        "_ranks",
        "_recorder",
        "_settings",
        "_skew",
        "_view",
        "service",
    )

    def __init__(
        self, settings, identity, view, membership, client, recorder, clock, metrics
    ):
        rank = settings.rank
        self._settings = settings
        self._identity = identity
        self._view = view
        self._membership = membership
        self._clock = clock
        heartbeats = Heartbeats(settings.ownership, clock)
        self.service = RankService(rank, clock, heartbeats.note_heartbeat)
        self._owners = OwnershipView()
        self._claimer = Claimer(
            client,
            self._owners,
            settings.platform,
            settings.configuration,
            settings.ownership,
            identity.host,
            identity.incarnation,
            self._groups,
            Liveness(membership, heartbeats),
            clock,
            metrics,
        )
        self._recorder = recorder
        self._ranks = RemoteRanks(
            rank.group, identity, settings.peers, rank.order_wait_s
        )
        self._controller = Controller(
            rank.group,
            self._ranks,
            settings.planner,
            rank.plan_interval_s,
            functools.partial(self._claimer.confirm, rank.group),
            self._objective,
            self._record_change,
            clock,
        )
        self._skew = metrics.gauge(
            "experts_skew", "Step-time skew of the group, at its controller."
        )

    def tasks(self):
        """Return the coroutine functions to run, by task name."""
        return {
            "rank": self.service.run,
            "claims": self._claimer.run,
            "controller": self._control,
            "heartbeats": self._send_heartbeats,
        }

    def answer_experts(self, question):
        """Return the `ExpertsStatus` that answers an operator's `ExpertsQuestion`."""
        group = self._settings.rank.group
        if question.group not in ("", group):
            return no_group_status(self._identity.host)
        owner = self._owners.owner(group)
        return group_status(group, self._identity, owner, self._controller)

    def _hosts(self):
        """Return the hosts of the group's ranks, sorted."""
        state = self._view.state
        group = None if state is None else state.groups.get(self._settings.rank.group)
        if group is None:
            return []
        return sorted(
            host.name
            for host in state.hosts.values()
            if group.hosts.matches(host.labels)
        )

    def _groups(self):
        hosts = self._hosts()
        return {self._settings.rank.group: hosts} if hosts else {}

    def _objective(self):
        state = self._view.state
        group = None if state is None else state.groups.get(self._settings.rank.group)
        if group is None:
            return Objective()
        return Objective(group.skew_weight, group.cost_weight, group.quiet_windows)

    async def _control(self):
        while True:
            agents = self._membership.agents()
            hosts = self._hosts()
            # A map change has to reach every rank, so the addresses of all are needed.
            if hosts and all(host in agents for host in hosts):
                await self._ranks.reconcile(
                    {
                        host: Address(agents[host].address, agents[host].port)
                        for host in hosts
                    }
                )
                await self._controller.run_once()
                self._skew.set(self._controller.skew or 0.0)
            await curio.sleep(self._settings.rank.plan_interval_s)

    async def _send_heartbeats(self):
        while True:
            owner = self._owners.owner(self._settings.rank.group)
            if owner is not None and owner.incarnation == self._identity.incarnation:
                await self._ranks.send_heartbeat()
            await curio.sleep(self._settings.peers.heartbeat_interval_s)

    def _record_change(self, fencing, old_version, version, result):
        self._recorder.record(
            map_entry(
                self._settings.rank.group,
                self._identity.host,
                fencing,
                old_version,
                version,
                result,
                self._clock.unix_ms(),
            )
        )
