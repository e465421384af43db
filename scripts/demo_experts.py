"""Rebalance a group of ranks with real agents while its controllers fail.

It starts four agents with a rank each and publishes a model group.  Twice it kills the
agent that owns the group; then it freezes a third owner until others suspect it, and
thaws it.  The last line is JSON.  The exit status is 1 if a step ran on mixed maps, the
group makes no steps at the end, or the load was never balanced.
"""

import json
import shutil
import sys
import tempfile
import time
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from scripts._cluster import Cluster, control  # noqa: E402
from scripts._cluster_options import ClusterOptions, quick_options  # noqa: E402
from scripts._processes import interruptible, Processes  # noqa: E402
from scripts._progress import Progress  # noqa: E402
from siskinthread.audit import AuditQuery, Kind  # noqa: E402
from siskinthread.audit._operators import read_answer  # noqa: E402
from siskinthread.settings import Address  # noqa: E402
from siskinthread.shared_services import LogClient, PlatformSettings  # noqa: E402

GROUP = "draft-group"
RANKS = 4
LOPSIDED_SEED = "3"
RANK_SETTINGS = {
    "group": GROUP,
    "order_limit_s": 0.5,
    "plan_interval_s": 0.5,
    "order_wait_s": 2.0,
    "hold_limit_s": 1.0,
}
OWNERSHIP_SETTINGS = {
    "claim_step_s": 0.3,
    "silence_limit_s": 1.5,
    "owner_read_interval_s": 0.5,
    "read_interval_s": 1.0,
}
AUDIT_SETTINGS = {"append_interval_s": 0.5}
CHANGE_WAIT_S = 20.0
SETTLE_S = 2.0


class ExpertCluster(Cluster):
    """Cluster whose engine agents have the ranks of a group."""

    __slots__ = ("group_address", "rank_addresses")

    def start_group(self, processes):
        """Start the stand-in of the group and read its addresses."""
        program = [sys.executable, "-m", "standins.rank_group"]
        options = ("--ranks", str(RANKS), "--seed", LOPSIDED_SEED, "--drift", "0.3")
        group = processes.start("group", [*program, *options], states_address=True)
        self.group_address = group.read_address()
        self.rank_addresses = [group.read_address() for _ in range(RANKS)]

    def _write_settings(self, node):
        path = super()._write_settings(node)
        if node.kind == "engine":
            settings = json.loads(path.read_text())
            host, port = self.rank_addresses[self.agents.index(node)]
            settings["rank"] = {**RANK_SETTINGS, "address": f"{host}:{port}"}
            settings["ownership"] = OWNERSHIP_SETTINGS
            settings["audit"] = AUDIT_SETTINGS
            path.write_text(json.dumps(settings))
        return path

    async def publish(self, objects):
        """Publish the given objects and the group."""
        group = {
            "name": GROUP,
            "service": "draft-llm",
            "hosts": "runs=engine",
            "cost_weight": 0.5,
        }
        await super().publish({**objects, "groups": [group]})

    async def counts(self):
        """Return the counts of the group's stand-in."""
        return await control(self.group_address, "GET", "/counts")


class Run:
    """A run of the demo.

    Parameters
    ----------
    cluster : ExpertCluster
        Cluster to run.
    progress : Progress
        Prints the progress lines.
    """

    __slots__ = ("_cluster", "_progress", "skews")

    def __init__(self, cluster, progress):
        self._cluster = cluster
        self._progress = progress
        self.skews = []

    async def run(self):
        """Inject the faults and return the figures of the run."""
        await self._cluster.start()
        await self._wait_for_change("first change")
        for _ in range(2):
            owner = await self._owner()
            owner.process.kill()
            self._progress.say(f"killed the controller on {owner.name}")
            await curio.sleep(SETTLE_S)
            self._cluster.start_daemon(owner)
            await self._wait_for_change("a successor changed the map")
        owner = await self._owner()
        owner.process.freeze()
        self._progress.say(f"froze the controller on {owner.name}")
        await curio.sleep(2 * SETTLE_S)
        owner.process.thaw()
        self._progress.say("it goes on")
        await self._wait_for_change("a change after the pause")
        return await self._figures()

    async def _wait_for_change(self, what):
        before = (await self._cluster.counts())["versions"]
        deadline_s = time.monotonic() + CHANGE_WAIT_S
        while time.monotonic() < deadline_s:
            counts = await self._cluster.counts()
            self.skews.append(counts["skew"])
            if counts["versions"] != before and len(set(counts["versions"])) == 1:
                self._progress.say(f"{what}: version {counts['versions'][0]}")
                return
            await curio.sleep(0.1)
        self._progress.say(f"no change in {CHANGE_WAIT_S:g} s: {what}")

    async def _owner(self):
        """Return the agent whose metrics show a skew, as only the controller's do."""
        for node in self._cluster.agents:
            if node.process.running() and await self._shows_skew(node):
                return node
        return self._cluster.agents[0]

    async def _shows_skew(self, node):
        connection = await curio.open_connection(*node.status_address)
        async with connection:
            await connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
            text = b""
            while b"siskinthread_experts_skew " not in text:
                data = await connection.recv(65536)
                if not data:
                    return False
                text += data
        value = text.split(b"\nsiskinthread_experts_skew ")[-1].split()[0]
        return float(value) > 0

    async def _figures(self):
        before = await self._cluster.counts()
        await curio.sleep(SETTLE_S)
        after = await self._cluster.counts()
        return {
            "steps": after["steps"],
            "mixed_steps": after["mixed_steps"],
            "stands_still": after["steps"] == before["steps"],
            "longest_hold_ms": round(after["longest_hold_ms"], 1),
            "skew_first": round(self.skews[0], 3),
            "skew_least": round(min(self.skews), 3),
            "version": after["versions"][0],
            "audited_changes": await self._audited_changes(),
        }

    async def _audited_changes(self):
        """Return the number of map changes in the audit trail."""
        address = Address(*self._cluster.platform.log)
        settings = PlatformSettings(log=address, host_list=address)
        streams = (settings.audit_stream, settings.ownership_stream)
        query = AuditQuery(None, [Kind.EXPERT_MAP], *streams)
        client = LogClient(settings)
        answer = await read_answer(client, settings.configuration_stream, query)
        await client.close()
        return len(answer.entries)


async def _run(progress, processes, folder):
    quick = quick_options(entries=1, engines=RANKS, plain_services=1)
    options = ClusterOptions(
        entries=1,
        engines=RANKS,
        plain_services=1,
        clock_error_limit_s=quick.clock_error_limit_s,
        agent_settings=quick.agent_settings,
        entry_settings=quick.entry_settings,
    )
    cluster = ExpertCluster(options, processes, folder)
    cluster.start_group(processes)
    return await Run(cluster, progress).run()


def main():
    """Run the demo; return the exit status."""
    progress = Progress()
    folder = Path(tempfile.mkdtemp(prefix="siskinthread-experts-"))
    with interruptible(), Processes(folder) as processes:
        figures = curio.run(_run, progress, processes, folder)
    has_passed = not figures["mixed_steps"] and not figures["stands_still"]
    has_passed = has_passed and figures["skew_least"] < figures["skew_first"]
    if has_passed:
        shutil.rmtree(folder)
    else:
        progress.say(f"logs are kept in {folder}")
    print(json.dumps(figures), flush=True)
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
