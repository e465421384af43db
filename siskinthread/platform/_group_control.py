"""Control of the expert maps of the platform's model servers."""

import random

import curio

from siskinthread.group_maps import GroupDirectory, GroupDuty, MapMeasures
from siskinthread.platform._rank_client import RankClient
from siskinthread.platform._shares import StoreShares
from siskinthread.timing import SYSTEM_CLOCK

LEARN_INTERVAL_S = 1.0
# While ranks are unknown, as after a start, maps can't change.
RETRY_INTERVAL_S = 0.25


class GroupControl:
    """Learns the groups of model servers, and controls those that fall to this host.

    Parameters
    ----------
    settings : GroupMapSettings
        Times and limits.
    host_settings : HostSettings
        Who this process is.
    gateway : siskinthread.gateway.Gateway
        Knows servers and services, and is told their groups.
    store : StoreClient
        Deals out the groups.
    metrics : siskinthread.observability.Metrics
        The registry.
    """

    __slots__ = ("_directory", "_duty", "_gateway", "_rank_calls")

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
            host_settings.share_count,
            settings.share_lapse_s,
        )
        self._duty = GroupDuty(
            self._directory,
            shares,
            self._find_layout,
            gateway,
            settings,
            SYSTEM_CLOCK,
            MapMeasures(metrics),
            random.Random(),
        )

    def tasks(self):
        """Return the endless tasks by name."""
        return {"groups": self._learn_groups, "maps": self._duty.run}

    async def _learn_groups(self):
        while True:
            entries = self._gateway.parts.targets.entries()
            ranks = [entry for entry in entries if self._layout(entry) is not None]
            is_complete = await self._directory.refresh(ranks)
            await curio.sleep(LEARN_INTERVAL_S if is_complete else RETRY_INTERVAL_S)

    def _build_client(self, entry):
        return RankClient(entry, self._layout(entry), self._rank_calls)

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
