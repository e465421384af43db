"""Failure runs: the demo's load during one kind of fault per run.

Each run has a system of its own.  ``python scripts/demo_failures.py`` executes all runs
or the named runs; ``random_SEED`` draws three faults from a seed.
"""

import json
import random
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import curio

from scripts._cluster import Cluster, control
from scripts._cluster_options import quick_options
from scripts._load import Callers
from scripts._mix import Mix
from scripts._processes import Interrupted, interruptible, Processes, StartError
from scripts._progress import Progress
from scripts._verdict import RunVerdict

LOAD_S = 6.0
DRAFTS_PER_S = 30
ALERTS_PER_S = 60
PLAIN_DELAY_MS = 100.0
"""Long enough that each fault affects several alerts in progress."""

FIRST_FAULT_AFTER_S = 1.0
DETAILS_SHOWN = 8
PROXIED = ("engine-2", "plain-2")
RANDOM_RUNS = 4
RANDOM_PREFIX = "random_"
FAULTS_AT_A_TIME = 3
RACE_STATUSES = (0, 3)
"""Exit statuses: accepted, or refused because of another operator's change."""


async def kill_plain_agent(cluster):
    """Kill the agent that guards non-idempotent work; its successor has no state."""
    await _restart(cluster, "plain-1", signal.SIGKILL)


async def stop_agents(cluster):
    """Stop and restart two agents, one after the other."""
    for name in ("engine-3", "plain-2"):
        await _restart(cluster, name, signal.SIGTERM)


async def kill_entry(cluster):
    """Kill an entry, which also resets its callers' connections."""
    cluster.entries[0].process.kill()


async def stop_entry(cluster):
    """Stop an entry, which must not abort requests in flight."""
    cluster.entries[1].process.send_signal(signal.SIGTERM)


async def freeze_entry(cluster):
    """Freeze an entry for longer than every silence limit."""
    await _freeze(cluster.entries[2], 2.5)


async def freeze_agents(cluster):
    """Freeze an agent of each kind, with an overlap."""
    async with curio.TaskGroup() as group:
        await group.spawn(_freeze, cluster.agent("plain-1"), 3.0)
        await curio.sleep(1.0)
        await group.spawn(_freeze, cluster.agent("engine-1"), 2.0)


async def freeze_then_kill(cluster):
    """Kill a frozen agent that has unread requests in its socket."""
    node = cluster.agent("plain-1")
    node.process.freeze()
    await curio.sleep(0.5)
    node.process.kill()
    await curio.sleep(0.5)
    cluster.start_daemon(node)


async def silence_connections(cluster):
    """Silence all connections to two agents, twice."""
    for _ in range(2):
        for name in PROXIED:
            await _silence(cluster, name)
        await curio.sleep(2.0)


async def lose_plain_answers(cluster):
    """Make plain services close the connection after a run, before the answer."""
    for name in ("plain-1", "plain-2"):
        await _set_faults(cluster, name, {"die_before_answer": 5})


async def stall_engine(cluster):
    """Make an engine generate no tokens for a while."""
    await _set_faults(cluster, "engine-1", {"stall": True})
    await curio.sleep(2.0)
    await _set_faults(cluster, "engine-1", {"stall": False})


async def lose_platform(cluster):
    """Replace an agent while the log and the host list are down."""
    platform = cluster.platform
    for address in (platform.log, platform.host_list):
        await control(address, "POST", "/faults", {"down": True})
    await _restart(cluster, "engine-1", signal.SIGKILL)
    await curio.sleep(1.5)
    for address in (platform.log, platform.host_list):
        await control(address, "POST", "/faults", {"down": False})


async def empty_host_list(cluster):
    """Make the host list answer an empty list for a while."""
    address = cluster.platform.host_list
    await control(address, "POST", "/faults", {"empty": True})
    await curio.sleep(3.0)
    await control(address, "POST", "/faults", {"empty": False})


async def move_homes(cluster):
    """Remove a host of alerts by a change of labels, and restore it by another."""
    await cluster.publish(_labelled("plain-2", "spare"))
    await curio.sleep(1.5)
    await cluster.publish(_labelled("plain-2", "plain"))


async def race_operators(cluster):
    """Change an object by three operators at once, with a lost append answer."""
    await control(cluster.platform.log, "POST", "/faults", {"lose_answers": 1})
    async with curio.TaskGroup() as group:
        for rack in ("rack-1", "rack-2", "rack-3"):
            change = {"hosts": [_host("engine-4", {"runs": "engine", "rack": rack})]}
            await group.spawn(cluster.publish, change, RACE_STATUSES)


async def shorten_log(cluster):
    """Truncate the log to nothing; the accepted configuration must stay in force."""
    await control(cluster.platform.log, "POST", "/faults", {"truncate_to": 0})


def random_faults(seed):
    """Return a fault that injects three overlapping faults drawn from a seed."""
    chosen = random.Random(seed).sample(SINGLE_FAULTS, FAULTS_AT_A_TIME)

    async def faults(cluster):
        async with curio.TaskGroup() as group:
            for fault in chosen:
                await group.spawn(fault, cluster)
                await curio.sleep(0.5)

    return faults


SINGLE_FAULTS = (
    kill_plain_agent,
    stop_agents,
    kill_entry,
    stop_entry,
    freeze_entry,
    freeze_agents,
    freeze_then_kill,
    silence_connections,
    lose_plain_answers,
    stall_engine,
    lose_platform,
    empty_host_list,
    move_homes,
    race_operators,
    shorten_log,
)
NAMES = [fault.__name__ for fault in SINGLE_FAULTS] + [
    f"{RANDOM_PREFIX}{seed}" for seed in range(1, RANDOM_RUNS + 1)
]


def fault_named(name):
    """Return a single fault, or for ``random_SEED`` the three drawn faults."""
    if name.startswith(RANDOM_PREFIX):
        return random_faults(int(name.removeprefix(RANDOM_PREFIX)))
    return next(fault for fault in SINGLE_FAULTS if fault.__name__ == name)


def _host(name, labels):
    return {"name": name, "labels": labels}


def _labelled(name, runs):
    return {"hosts": [_host(name, {"runs": runs})]}


async def _restart(cluster, name, number):
    node = cluster.agent(name)
    node.process.send_signal(number)
    while node.process.running():
        await curio.sleep(0.02)
    await curio.sleep(0.5)
    cluster.start_daemon(node)


async def _freeze(node, pause_s):
    node.process.freeze()
    await curio.sleep(pause_s)
    node.process.thaw()


async def _silence(cluster, name):
    address = cluster.agent(name).control_address
    await control(address, "POST", "/silence", {"connections": 100})


async def _set_faults(cluster, name, faults):
    await control(cluster.agent(name).target_address, "POST", "/faults", faults)


async def _run(processes, folder, fault):
    cluster = Cluster(
        quick_options(proxied=PROXIED, plain_delay_ms=PLAIN_DELAY_MS), processes, folder
    )
    await cluster.start()
    callers = Callers(cluster.entry_addresses, seed=1)
    async with curio.TaskGroup(wait=all) as group:
        await group.spawn(_inject_later, cluster, fault)
        await Mix(DRAFTS_PER_S, ALERTS_PER_S, seed=1).send(callers, group, LOAD_S)
    await callers.close()
    return RunVerdict(callers.calls, await cluster.ledgers())


async def _inject_later(cluster, fault):
    await curio.sleep(FIRST_FAULT_AFTER_S)
    await fault(cluster)


def _run_once(name, progress):
    """Execute a run and return whether all invariants held."""
    folder = Path(tempfile.mkdtemp(prefix=f"siskinthread-{name}-"))
    with Processes(folder) as processes:
        verdict = curio.run(_run, processes, folder, fault_named(name))
    for line in verdict.unusual_lines(DETAILS_SHOWN) + verdict.details:
        progress.say(f"  {line}")
    print(json.dumps({"run": name, **verdict.as_json()}), flush=True)
    if verdict.holds():
        shutil.rmtree(folder)
    else:
        progress.say(f"logs and settings are kept in {folder}")
    return verdict.holds()


def main(names):
    """Execute the named runs or all; return 1 if an invariant was violated."""
    progress = Progress()
    violated = []
    try:
        with interruptible():
            for name in names or NAMES:
                if not _run_once(name, progress):
                    violated.append(name)
    except Interrupted as interruption:
        progress.say(f"ended by {interruption}")
        return 130
    except StartError as error:
        progress.say(f"could not run: {error}")
        return 2
    progress.say(f"violated: {', '.join(violated) or 'none'}")
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
