"""Demo of a small system under load while its parts fail."""

import collections
import json
import shutil
import sys
import tempfile
import time
from pathlib import Path

import curio

from scripts._cluster import Cluster, control
from scripts._cluster_options import quick_options
from scripts._load import Callers
from scripts._mix import Mix
from scripts._processes import Interrupted, interruptible, Processes, StartError
from scripts._progress import Progress
from scripts._verdict import RunVerdict

LOAD_S = 10.0
DRAFTS_PER_S = 40
ALERTS_PER_S = 20
SEED = 20
SILENT_AGENT = "engine-2"
FROZEN_AGENT = "plain-1"
KILLED_AGENT = "engine-1"
LEAVING_AGENT = "engine-4"
LEAVING_NOTICE_S = 3.0
DETAILS_SHOWN = 20
EXIT_FINE = 0
EXIT_VIOLATED = 1
EXIT_NOT_RUN = 2
EXIT_INTERRUPTED = 130


class Demo:
    """A run of the demo.

    Parameters
    ----------
    cluster : scripts._cluster.Cluster
        Cluster to run.
    progress : Progress
        Prints the progress lines.
    """

    __slots__ = ("_callers", "_cluster", "_progress", "_runs_at_notice")

    def __init__(self, cluster, progress):
        self._cluster = cluster
        self._progress = progress
        self._callers = None
        self._runs_at_notice = None

    async def run(self):
        """Start the system, inject faults under load, and return the `RunVerdict`."""
        await self._cluster.start()
        self._progress.say(f"ready: {_list_hosts(self._cluster)}")
        self._callers = Callers(self._cluster.entry_addresses, SEED)
        async with curio.TaskGroup() as group:
            await group.spawn(self._inject_faults)
            await group.spawn(self._report)
            mix = Mix(DRAFTS_PER_S, ALERTS_PER_S, SEED)
            await mix.send(self._callers, group, LOAD_S)
        await self._callers.close()
        return RunVerdict(self._callers.calls, await self._cluster.ledgers())

    async def new_runs_after_notice(self):
        """Return the number of runs at the leaving target since the notice ended."""
        return await self._runs_of(LEAVING_AGENT) - self._runs_at_notice

    async def _inject_faults(self):
        cluster = self._cluster
        await curio.sleep(1.5)
        await self._silence(cluster.agent(SILENT_AGENT))
        await curio.sleep(1.0)
        cluster.agent(FROZEN_AGENT).process.freeze()
        self._progress.say(f"froze the agent of {FROZEN_AGENT}")
        await curio.sleep(1.0)
        cluster.agent(KILLED_AGENT).process.kill()
        self._progress.say(f"killed the agent of {KILLED_AGENT}")
        await curio.sleep(1.0)
        cluster.agent(FROZEN_AGENT).process.thaw()
        self._progress.say(f"the agent of {FROZEN_AGENT} goes on")
        cluster.start_daemon(cluster.agent(KILLED_AGENT))
        self._progress.say(f"a new agent starts on {KILLED_AGENT}")
        await curio.sleep(1.0)
        await self._leave(cluster.agent(LEAVING_AGENT))

    async def _silence(self, node):
        counts = await control(
            node.control_address, "POST", "/silence", {"connections": 1}
        )
        self._progress.say(
            f"{counts['silenced']} of {counts['open']} connections to {node.name} "
            "went silent"
        )

    async def _leave(self, node):
        await self._cluster.list_host(node, leaving=True)
        self._progress.say(f"{node.name} is leaving")
        await curio.sleep(LEAVING_NOTICE_S)
        self._runs_at_notice = await self._runs_of(node.name)
        self._progress.say(f"{node.name} began {self._runs_at_notice} runs so far")

    async def _runs_of(self, name):
        ledgers = await self._cluster.ledgers()
        return sum(entry["runs"] for entry in ledgers[name].values())

    async def _report(self):
        ends_at_s = time.monotonic() + LOAD_S
        while time.monotonic() < ends_at_s:
            await curio.sleep(1.0)
            counts = collections.Counter(
                call.verdict.value for call in self._callers.calls if call.attempts
            )
            self._progress.say(f"so far {dict(counts)}")


def _list_hosts(cluster):
    hosts = collections.defaultdict(list)
    for node in cluster.entries + cluster.agents:
        hosts[node.failure_domain].append(node.name)
    return "; ".join(f"{domain}: {', '.join(names)}" for domain, names in hosts.items())


async def _run(progress, processes, folder):
    options = quick_options(proxied=(SILENT_AGENT,))
    demo = Demo(Cluster(options, processes, folder), progress)
    verdict = await demo.run()
    result = verdict.as_json()
    result["new_work_after_leaving"] = await demo.new_runs_after_notice()
    return verdict, result


def main():
    """Run the demo and return its exit status, 1 if an invariant was violated."""
    progress = Progress()
    folder = Path(tempfile.mkdtemp(prefix="siskinthread-demo-"))
    try:
        with interruptible(), Processes(folder) as processes:
            verdict, result = curio.run(_run, progress, processes, folder)
    except Interrupted as interruption:
        progress.say(f"ended by {interruption}")
        shutil.rmtree(folder)
        return EXIT_INTERRUPTED
    except StartError as error:
        progress.say(f"could not run: {error}")
        return EXIT_NOT_RUN
    if processes.forced:
        progress.say(f"ended by force: {', '.join(processes.forced)}")
    for line in verdict.unusual_lines(DETAILS_SHOWN):
        progress.say(line)
    for detail in verdict.details:
        progress.say(detail)
    has_passed = verdict.holds() and not result["new_work_after_leaving"]
    if has_passed:
        shutil.rmtree(folder)
    else:
        progress.say(f"logs and settings are kept in {folder}")
    print(json.dumps(result), flush=True)
    return EXIT_FINE if has_passed else EXIT_VIOLATED


if __name__ == "__main__":
    sys.exit(main())
