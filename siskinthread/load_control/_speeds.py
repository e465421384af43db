"""Measures the speeds of targets and selects the preferred ones."""

from siskinthread.load_control._group_passes import GroupPasses
from siskinthread.load_control._placement import Candidate, SpeedPlacement
from siskinthread.load_control._speed_view import SpeedView
from siskinthread.load_control._target_speeds import TargetSpeeds


class Speeds:
    """Measures targets, and candidates requests where speeds measurably differ.

    Parameters
    ----------
    parts : GatewayParts
        Settings, clock, random numbers, loads and passes.

    Attributes
    ----------
    placement : SpeedPlacement
        Selects the preferred targets.
    """

    __slots__ = (
        "_loads",
        "_own",
        "_passes",
        "_view",
        "_measures",
        "placement",
    )

    def __init__(self, parts):
        settings = parts.settings.speeds
        self._loads = parts.loads
        self._own = TargetSpeeds(settings, parts.clock)
        self._view = SpeedView(settings, parts.clock, self._own, parts.loads)
        self._own.slowness_of = self._view.slowness
        self._passes = GroupPasses(settings, parts.clock, parts.progress)
        self.placement = SpeedPlacement(settings, parts.clock, parts.random)
        self._measures = parts.measures

    @property
    def peers(self):
        """Source of the measurements of peers, `siskinthread.peer_news.PeerGossip`."""
        return self._view.peers

    @peers.setter
    def peers(self, peers):
        self._view.peers = peers

    @property
    def group_of(self):
        """Function that returns the name of a target's group by its id, or None."""
        return self._own.group_of

    @group_of.setter
    def group_of(self, group_of):
        self._own.group_of = group_of

    def started(self, request, instance_id, load):
        """Return the `TimedRequest` of a request at a target, or None."""
        return self._own.started(request, instance_id, load)

    def statements(self):
        """Return the `SpeedStatement` by target that is reported to peers."""
        return self._view.statements()

    def slow_groups(self, service_name, get_loads):
        """Return groups with clearly longer passes; see `GroupPasses.slow_groups`."""
        return self._passes.slow_groups(service_name, get_loads)

    def prefer(self, request, serving, admitting, max_load):
        """Return the preferred targets among those that admit a request.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        serving : list of TargetEntry
            All targets of the service.
        admitting : list of TargetEntry
            The targets that admit the request.
        max_load : float
            Requests per slot from which on a target takes no more.

        Returns
        -------
        list of TargetEntry
            All admitting targets if no speed deviates.
        """
        speeds = self._view.speeds(request.service_name, serving)
        if not speeds or not any(entry.instance_id in speeds for entry in admitting):
            return admitting
        candidates = [
            Candidate(
                entry,
                self._loads.total(entry.instance_id),
                self._loads.own(entry.instance_id),
                speeds.get(entry.instance_id),
                request.kind.is_repeatable,
            )
            for entry in admitting
        ]
        preference = self.placement.prefer(
            candidates, self._loads.unseen_count(), self._loads.fleet_per_s(), max_load
        )
        if preference.is_trial:
            self._measures.placed_by_speed("trial")
        elif len(preference.entries) < len(admitting):
            self._measures.placed_by_speed("preferred")
        return preference.entries

    def deviating_count(self):
        """Return the number of targets that measurably deviate."""
        return self._view.deviating_count()

    def forget(self, instance_id):
        """Drop the state of a target that is gone."""
        self._own.forget(instance_id)
        self._view.forget(instance_id)
