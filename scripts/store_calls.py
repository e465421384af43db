"""Print the calls to the platform's store by cause, for a fleet in one process.

``python -m scripts.store_calls --hosts 12`` runs that many gateways in three failure
domains against the stand-in store, without requests.  All start at once, and targets
register during the start.  Targets report every 2 s, as in production.  With
``--no-era`` the store reports no era.  Each part of the run prints a line of JSON:
calls by name and topic, their number per second and host, and the time until changes
were in force.
"""

import argparse
import collections
import json
import logging

import curio

from siskinthread.gateway import GatewaySettings
from siskinthread.platform.tests.domains_fleet import running_fleet
from siskinthread.platform.tests.system import route
from siskinthread.timing import SYSTEM_CLOCK
from standins.platform_store import FIRST_ERA

DOMAINS = ("a", "b", "c")
# Time after which the gossip between hosts has settled and long polls are periodic.
START_S = 16.0
REGISTER_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 2.0
CHANGE_COUNT = 10
CHANGE_INTERVAL_S = 0.3
CHANGES_SETTLE_S = 3.0
TARGET_COUNT = 6
# Changes of targets in quick succession, as when a group of 30 ranks restarts.
BURST_CHANGES = 30
BURST_INTERVAL_S = 0.1
BURST_SETTLE_S = 1.0
LEAVING_S = 2.0
OUTAGE_S = 5.0
OUTAGE_SETTLE_S = 5.0
# Cost of a renewal of shares relative to other calls.
RENEWAL_PRICE = 0.1
IN_FORCE_LIMIT_S = 20.0
# Number of slots that targets of the fleet report by default.
SLOTS = 6
monotonic_s = SYSTEM_CLOCK.monotonic_s


class Run:
    """A run through all parts."""

    def __init__(self, fleet, idle_s):
        self._fleet = fleet
        self._idle_s = idle_s
        self._names = []
        self._reports = 1

    async def report(self):
        """Report all targets periodically while the store is up, until cancelled."""
        while True:
            await curio.sleep(REPORT_INTERVAL_S)
            self._reports += 1
            if self._fleet.store.mode == "up":
                for name in list(self._names):
                    await self._fleet.put_target(name, self._reports)

    async def measure(self, part, act):
        """Print the calls during a part of the run."""
        await self.measure_from(part, act, self._fleet.counted(), monotonic_s())

    async def measure_from(self, part, act, before, began_s):
        """Print the calls since earlier counts, which were taken at `began_s`."""
        facts = await act() or {}
        passed_s = monotonic_s() - began_s
        calls = self._fleet.counted() - before
        renewals = calls["join group-shares"]
        total = sum(calls.values())
        weighted = total - renewals * (1 - RENEWAL_PRICE)
        host_count = len(self._fleet.entries)
        row = {
            "part": part,
            "hosts": host_count,
            "seconds": round(passed_s, 1),
            "calls": dict(sorted(calls.items())),
            "total": total,
            "priced": round(weighted, 1),
            "priced_per_s_and_host": round(weighted / passed_s / host_count, 4),
        }
        print(json.dumps(row | facts), flush=True)

    async def register_targets(self):
        """Register targets one after the other, and wait until the start is over."""
        began_s = monotonic_s()
        for number in range(TARGET_COUNT):
            await curio.sleep(REGISTER_INTERVAL_S)
            self._names.append(f"i-{number}-1")
            await self._fleet.put_target(self._names[-1])
        await curio.sleep(START_S - (monotonic_s() - began_s))

    async def change_targets(self):
        """Change the reported slots of targets in quick succession."""
        for number in range(BURST_CHANGES):
            name = self._names[number % len(self._names)]
            self._reports += 1
            slots = SLOTS + 1 + number // len(self._names)
            await self._fleet.put_target(name, self._reports, slots=slots)
            await curio.sleep(BURST_INTERVAL_S)
        await curio.sleep(BURST_SETTLE_S)

    async def idle(self):
        """Wait without any change."""
        await curio.sleep(self._idle_s)

    async def one_change(self):
        """Publish one configuration."""
        return await self._change(1)

    async def change(self):
        """Publish a series of configurations."""
        return await self._change(CHANGE_COUNT)

    async def _change(self, count):
        published_s = {}
        for _ in range(count):
            at_s = await self._fleet.publish()
            published_s[self._fleet.version] = at_s
            await curio.sleep(CHANGE_INTERVAL_S)
        await self._fleet.until_in_force(self._fleet.version, limit_s=IN_FORCE_LIMIT_S)
        await curio.sleep(CHANGES_SETTLE_S)
        waits_s = [
            min(at for v, at in one.in_force.items() if v >= version) - published_s
            for version, published_s in published_s.items()
            for one in self._fleet.entries
        ]
        return {
            "in_force_mean_s": round(sum(waits_s) / len(waits_s), 3),
            "in_force_max_s": round(max(waits_s), 3),
        }

    async def evacuate(self):
        """Evacuate a failure domain, and withdraw the evacuation."""
        began_s = monotonic_s()
        await self._fleet.store.evacuate("c")
        await curio.sleep(CHANGES_SETTLE_S)
        await self._fleet.store.take_back("c")
        await curio.sleep(CHANGES_SETTLE_S)
        waits_s = [one.evacuated_at_s["c"] - began_s for one in self._fleet.entries]
        return {"evacuated_max_s": round(max(waits_s), 3)}

    async def replace_targets(self):
        """Drain each target, remove it and register it under another id."""
        for name in list(self._names):
            await self._fleet.put_target(name, self._reports, state="draining")
            self._names.remove(name)
            await curio.sleep(LEAVING_S)
            await self._fleet.store.put("keyed.servers", name, None)
            later = name.removesuffix("-1") + "-2"
            await self._fleet.put_target(later)
            self._names.append(later)
            await curio.sleep(LEAVING_S)

    async def outage(self):
        """Make the store unavailable for some seconds."""
        self._fleet.store.mode = "busy"
        await curio.sleep(OUTAGE_S)
        self._fleet.store.mode = "up"
        await curio.sleep(OUTAGE_SETTLE_S)


async def run(options):
    """Run all parts."""
    domains = [DOMAINS[number % len(DOMAINS)] for number in range(options.hosts)]
    routes = [route(f"/r{number}/", "safe") for number in range(options.routes)]
    values = json.loads(options.settings)
    settings = GatewaySettings(**values)
    began_s = monotonic_s()
    async with running_fleet(
        domains,
        settings,
        has_groups=True,
        target_count=0,
        era=None if options.no_era else FIRST_ERA,
        routes=routes,
    ) as fleet:
        one = Run(fleet, options.idle)
        reporting = await curio.spawn(one.report, daemon=True)
        nothing = collections.Counter()
        await one.measure_from("start", one.register_targets, nothing, began_s)
        await one.measure("idle", one.idle)
        await one.measure("one change", one.one_change)
        await one.measure("ten changes", one.change)
        await one.measure("evacuation", one.evacuate)
        await one.measure("targets replaced", one.replace_targets)
        await one.measure("targets changed at once", one.change_targets)
        await one.measure("outage", one.outage)
        await reporting.cancel()


def main():
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--idle", type=float, default=60.0, help="seconds")
    parser.add_argument("--routes", type=int, default=840)
    parser.add_argument("--no-era", action="store_true", help="report none")
    parser.add_argument("--settings", default="{}", help="of GatewaySettings, as JSON")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    curio.run(run, options)


if __name__ == "__main__":
    main()
