"""Control of the expert maps of the platform's model servers."""

import random

import curio

from siskinthread.errors import PlatformUnavailableError
from siskinthread.group_maps import (
    GroupDirectory,
    GroupManager,
    MapMeasures,
    OutageWatch,
)
from siskinthread.observability import part_logger
from siskinthread.platform._rank_client import RankClient
from siskinthread.platform._rank_places import fetch_rank_places, rank_places_page
from siskinthread.platform._shares import StoreShares
from siskinthread.timing import Deadline, SYSTEM_CLOCK

DISCOVERY_INTERVAL_S = 1.0
# Shorter, since maps can't change while ranks are unknown, as after a start.
RETRY_INTERVAL_S = 0.25
# The peer that queries all ranks, 16 at a time, needs at most half a second.
PEER_PLACES_WAIT_S = 1.5
PEER_ANSWER_WAIT_S = 0.3

_logger = part_logger("platform")


def ranks_to_query(ranks, unknown, evacuated):
    """Return the ranks without those that must not be queried for their place.

    Parameters
    ----------
    ranks, unknown : list of siskinthread.gateway.TargetEntry
        All ranks, and those of them whose place is not known.
    evacuated : frozenset of str
        Evacuated failure domains.

    Notes
    -----
    A rank in an evacuated failure domain may belong to a group with ranks outside,
    whose map matters.  If all ranks of its service are in evacuated domains, it need
    not be queried.
    """
    services = {
        one.service_name for one in ranks if one.failure_domain not in evacuated
    }
    return [one for one in ranks if one.service_name in services or one not in unknown]


class GroupControl:
    """Discovers the groups of model servers, and controls those assigned to this host.

    Parameters
    ----------
    settings : GroupMapSettings
        Times and limits.
    host_settings : HostSettings
        Identity of this process.
    gateway : siskinthread.gateway.Gateway
        Provides servers and services, and receives the groups.
    store : StoreClient
        Assigns the groups.
    metrics : siskinthread.observability.Metrics
        The registry.
    """

    __slots__ = ("_directory", "_duty", "_gateway", "_outage_watch", "_rank_calls")

    def __init__(self, settings, host_settings, gateway, store, metrics):
        self._gateway = gateway
        self._rank_calls = metrics.counter(
            "platform_rank_calls", "Calls to ranks of model groups.", ("call",)
        )
        self._directory = GroupDirectory(self._build_client, settings, SYSTEM_CLOCK)
        gateway.parts.choice.group_of = self._directory.group_of
        shares = StoreShares(
            store,
            host_settings.host,
            host_settings.failure_domain,
            host_settings.share_count,
            settings.share_lapse_s,
        )
        self._duty = GroupManager(
            self._directory,
            shares,
            self._find_layout,
            gateway.control_home,
            settings,
            SYSTEM_CLOCK,
            MapMeasures(metrics),
            random.Random(),
        )
        self._outage_watch = OutageWatch(
            self._directory,
            self._duty.controlled_groups,
            gateway.control_home,
            settings,
            SYSTEM_CLOCK,
            random.Random(),
        )

    def tasks(self):
        """Return the endless tasks by name."""
        return {
            "groups": self._discover_groups,
            "maps": self._duty.run,
            "outages": self._outage_watch.run,
        }

    async def _discover_groups(self):
        query_deadline = None
        while True:
            entries = self._gateway.parts.targets.entries()
            ranks = [entry for entry in entries if self._layout(entry) is not None]
            ranks = ranks_to_query(
                ranks,
                self._directory.unknown(ranks),
                self._gateway.parts.evacuations.domains(),
            )
            await self._fetch_peer_places(self._directory.unknown(ranks))
            if not self._directory.unknown(ranks):
                query_deadline = None
            elif query_deadline is None:
                query_deadline = Deadline.after(SYSTEM_CLOCK, PEER_PLACES_WAIT_S)
            may_query = self._gateway.control_home.reader_address() is None or (
                query_deadline is not None and query_deadline.passed()
            )
            is_complete = await self._directory.refresh(ranks, may_query)
            # A failed rank may be listed again as another instance.
            is_calm = is_complete and not self._gateway.parts.outages.broken_groups()
            await curio.sleep(DISCOVERY_INTERVAL_S if is_calm else RETRY_INTERVAL_S)

    async def _fetch_peer_places(self, unknown):
        """Adopt rank places from the entry that queries ranks for this domain."""
        address = self._gateway.control_home.reader_address()
        if not unknown or address is None:
            return
        try:
            places = await fetch_rank_places(address, PEER_ANSWER_WAIT_S)
        except PlatformUnavailableError as error:
            _logger.event("no rank places from the peer", reason=str(error))
            return
        self._directory.learn(unknown, places)

    async def hand_over(self, limit_s):
        """Wait until a draining entry has handed over its groups, up to a limit."""
        if not await self._duty.hand_over(limit_s):
            _logger.event("shares were not handed over in time", limit_s=limit_s)

    def places_page(self):
        """Return the `StatusPage` of the rank places, for peers."""
        return rank_places_page(self._directory.places())

    def _build_client(self, entry):
        return RankClient(
            entry,
            self._layout(entry),
            self._rank_calls,
            SYSTEM_CLOCK,
            self._gateway.parts.note_internal_answer,
            self._gateway.parts.outages.note_report,
        )

    def _find_layout(self, instance_id):
        for entry in self._gateway.parts.targets.entries():
            if entry.instance_id == instance_id:
                return self._layout(entry)
        return None

    def _layout(self, entry):
        """Return the `ExpertLayout` of a server's service, or None."""
        table = self._gateway.view.table
        if table is None or entry.service_name not in table.services:
            return None
        return table.services[entry.service_name].experts
