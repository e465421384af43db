"""Replace hosts while the log is down, then all at once; check for lost changes.

It starts a small system, publishes, takes the log down, replaces twenty daemons one
after the other, restores the log, publishes again, and then kills and restarts all
daemons.  After each part every daemon must have the accepted version in force.  The
outage lasts as long as the replacements take, not ten minutes.  The last line is JSON;
the exit status is 1 if an accepted change was lost.
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
from scripts._cluster_configuration import configuration  # noqa: E402
from scripts._cluster_options import quick_options  # noqa: E402
from scripts._processes import interruptible, Processes  # noqa: E402
from scripts._progress import Progress  # noqa: E402

REPLACEMENTS = 20
VERSION_METRIC = b"\nsiskinthread_configuration_version "
FORCE_WAIT_S = 20.0


async def version_of(node):
    """Return the configuration version that a daemon has in force, or None."""
    try:
        connection = await curio.open_connection(*node.status_address)
    except OSError:
        return None
    async with connection:
        await connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
        text = b""
        while data := await connection.recv(65536):
            text += data
            if VERSION_METRIC in text and text.endswith(b"\n"):
                return int(float(text.split(VERSION_METRIC)[1].split()[0]))
    return None


class OutageRun:
    """A run with an outage of the log.

    Parameters
    ----------
    cluster : scripts._cluster.Cluster
        Cluster to run.
    options : scripts._cluster_options.ClusterOptions
        Options of the cluster.
    progress : Progress
        Prints the progress lines.
    """

    __slots__ = ("_cluster", "_options", "_progress")

    def __init__(self, cluster, options, progress):
        self._cluster = cluster
        self._options = options
        self._progress = progress

    @property
    def _nodes(self):
        return self._cluster.entries + self._cluster.agents

    async def run(self):
        """Execute the run and return its figures."""
        await self._cluster.start()
        published = await version_of(self._nodes[0])
        outage_s, ready_s = await self._replace_in_outage()
        kept = [await version_of(node) for node in self._nodes]
        later = await self._publish_again()
        cold_start_s = await self._restart_all(later)
        cold = [await version_of(node) for node in self._nodes]
        return {
            "version": published,
            "replacements": REPLACEMENTS,
            "outage_s": round(outage_s, 1),
            "longest_replacement_s": round(max(ready_s), 2),
            "lost_in_outage": sum(version != published for version in kept),
            "later_version": later,
            "cold_start_s": round(cold_start_s, 2),
            "lost_in_cold_start": sum(version != later for version in cold),
        }

    async def _replace_in_outage(self):
        log = self._cluster.platform.log
        await control(log, "POST", "/faults", {"down": True})
        began_s = time.monotonic()
        waits_s = []
        for index in range(REPLACEMENTS):
            node = self._nodes[index % len(self._nodes)]
            node.process.kill()
            node.process.wait()
            started_s = time.monotonic()
            self._cluster.start_daemon(node)
            await self._cluster.wait_until_ready()
            waits_s.append(time.monotonic() - started_s)
        self._progress.say(f"{REPLACEMENTS} daemons replaced while the log was down")
        await control(log, "POST", "/faults", {"down": False})
        return time.monotonic() - began_s, waits_s

    async def _publish_again(self):
        before = await version_of(self._nodes[0])
        objects = configuration(self._cluster.agents, self._options)
        objects["limits"][0]["burst_s"] = 3.0
        await self._cluster.publish(objects)
        deadline_s = time.monotonic() + FORCE_WAIT_S
        while time.monotonic() < deadline_s:
            versions = {await version_of(node) for node in self._nodes}
            if len(versions) == 1 and versions != {before}:
                break
            await curio.sleep(0.05)
        self._progress.say(f"published again; in force: {versions}")
        return max(versions)

    async def _restart_all(self, version):
        for node in self._nodes:
            node.process.kill()
            node.process.wait()
        started_s = time.monotonic()
        for node in self._nodes:
            self._cluster.start_daemon(node)
        await self._cluster.wait_until_ready()
        self._progress.say("every daemon was replaced at once")
        return time.monotonic() - started_s


async def _run(progress, processes, folder):
    options = quick_options()
    cluster = Cluster(options, processes, folder)
    return await OutageRun(cluster, options, progress).run()


def main():
    """Execute the run; return the exit status."""
    progress = Progress()
    folder = Path(tempfile.mkdtemp(prefix="siskinthread-outage-"))
    with interruptible(), Processes(folder) as processes:
        figures = curio.run(_run, progress, processes, folder)
    has_passed = not figures["lost_in_outage"] and not figures["lost_in_cold_start"]
    if has_passed:
        shutil.rmtree(folder)
    else:
        progress.say(f"logs are kept in {folder}")
    print(json.dumps(figures), flush=True)
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
