"""State of the gateway on which the assignment of controllers to groups depends."""

import collections
import hashlib


class ControlHome:
    """Interface between the gateway and the control of groups.

    Parameters
    ----------
    settings : GatewaySettings
        Number of entries of a failure domain that control groups.
    failure_domain : str
        Failure domain of this entry.
    progress : GroupProgress
        Passes and stalls of groups.
    context : GatewayContext
        Whether this entry drains.
    slow_targets : SlowTargets
        Receives the targets that should get no requests.
    outages : GroupOutages
        Knows which groups are broken.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        State of other entries.
    evacuated_domains : callable
        Returns the failure domains whose targets must get no requests, a frozenset.
    controlled : list of str
        Groups that this entry controls.
    """

    __slots__ = (
        "_context",
        "_failure_domain",
        "_outages",
        "_progress",
        "_settings",
        "_slow_targets",
        "evacuated_domains",
        "controlled",
        "peers",
    )

    def __init__(
        self, settings, failure_domain, progress, context, slow_targets, outages
    ):
        self._outages = outages
        self._slow_targets = slow_targets
        self._settings = settings
        self._failure_domain = failure_domain
        self._progress = progress
        self._context = context
        self.controlled = []
        self.peers = None
        self.evacuated_domains = frozenset

    def is_control_candidate(self):
        """Return whether this entry should control a share of the groups.

        A change of an expert map sends the map to each rank, 2 MB in all for 96 ranks,
        so a few entries with the fastest links are preferred.  A draining entry hands
        its shares over while it can still finish changes that it has begun.
        """
        if self._context.draining:
            return False
        if self.peers is None:
            return True
        return self.peers.is_preferred_host(self._settings.controllers_per_domain)

    def is_draining(self):
        """Return whether this entry should now hand its shares over."""
        return self._context.draining

    def is_heir_of(self, group):
        """Return whether to take over a group whose controller has fallen silent."""
        if self.peers is None or not self.is_control_candidate():
            return False
        return self.peers.is_heir_of(group, self._settings.controllers_per_domain)

    def note_controlled(self, groups):
        """Note which groups this entry controls, to be announced to peers."""
        self.controlled = sorted(groups)

    def is_home(self, group, rank_domains):
        """Return whether a group is controlled from this failure domain.

        The home of a group is the failure domain with most of its ranks, among those
        that have entries.  Requests are preferably sent within their failure domain, so
        that entries there observe the passes of the group, and orders do not leave the
        failure domain.  It is irrelevant whether the sources answer these entries:
        otherwise, in an outage of the store, each failure domain would consider itself
        the home of all groups.

        A group all of whose ranks are in evacuated failure domains has no home.  A
        group with ranks elsewhere still gets requests there, and needs its expert map.
        """
        if set(rank_domains) <= self.evacuated_domains():
            return False
        domains = {self._failure_domain}
        if self.peers is not None:
            domains |= self.peers.reachable_domains()
        counts = collections.Counter(one for one in rank_domains if one in domains)
        if not counts:
            return self._failure_domain == min(domains)
        home = max(counts, key=lambda one: (counts[one], _tie_break(group, one)))
        return home == self._failure_domain

    def is_store_unreachable(self):
        """Return whether the sources answer no known peer."""
        return self.peers is None or not self.peers.informed_peers()

    def should_release(self, group):
        """Return whether a group is stalled, and this entry should release it.

        Only one entry of each failure domain does so, to avoid that all of them query
        a stalled group.
        """
        is_reader = self.reader_address() is None
        # A broken group is not held for a map change, and is watched anyway.
        is_stalled = self._progress.is_stalled(group) and not self.is_broken(group)
        return is_reader and is_stalled

    def is_broken(self, group):
        """Return whether a group is considered broken."""
        return self._outages.is_broken(group)

    def refresh_outages(self):
        """Update which groups are broken."""
        self._outages.refresh()

    def groups_to_watch(self, controlled):
        """Return the broken groups whose ranks this entry should poll for reports.

        One entry of each failure domain watches all broken groups, whether or not the
        sources answer it; each controller also watches its own groups.

        Parameters
        ----------
        controlled : iterable of str
            Groups that this entry controls.
        """
        broken = self._outages.broken_groups()
        if self.peers is None or self.peers.is_first_of_domain():
            return broken
        return [group for group in broken if group in controlled]

    async def tell_outages(self):
        """Immediately send newly learnt states of groups to all entries."""
        urgent = self._outages.take_urgent()
        if urgent and self.peers is not None:
            await self.peers.tell_outages(urgent)

    def pass_view(self, group):
        """Return the `siskinthread.group_maps.PassView` of a group."""
        return self._progress.pass_view(group)

    def note_slow(self, group, instance_ids):
        """Note the targets of a group that should get no requests."""
        self._slow_targets.note(group, instance_ids)

    def reader_address(self):
        """Return the address of the reader of this failure domain.

        Returns
        -------
        siskinthread.settings.Address or None
            None if this entry is the reader.
        """
        return None if self.peers is None else self.peers.reader_address()


def _tie_break(group, failure_domain):
    """Return a sort key of a failure domain that is pseudo-random for each group."""
    return hashlib.blake2b(f"{group}/{failure_domain}".encode()).digest()
