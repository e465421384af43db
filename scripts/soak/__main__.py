"""Run seeds of the soak.

``make soak SEED=7`` runs one seed; ``--seeds 1-50`` runs a range, ``--failed`` the
seeds of `failed_seeds.txt`.  Each seed prints a line of JSON; the exit status is 0 if
every promise held.
"""

import argparse
import json
import shutil
import sys
import tempfile
import time
from pathlib import Path

import curio

from scripts._processes import Interrupted, interruptible, Processes, StartError
from scripts._progress import Progress
from scripts.soak._callers import Balancer, Caller, CrashingCaller, Prober
from scripts.soak._cpu_history import CpuHistory
from scripts.soak._faults import Faults
from scripts.soak._judged_period import JudgedPeriod, RECOVERY_S
from scripts.soak._pauses import start_timer
from scripts.soak._plan import draw_plan, has_cold_servers
from scripts.soak._promises import broken_promises
from scripts.soak._records import Records
from scripts.soak._system import SoakSystem

FAILED_SEEDS = Path(__file__).with_name("failed_seeds.txt")
# Longer than the 0.7 s within which servers stop work for a disconnected caller.
SETTLING_S = 1.0
CALLERS_PER_GATEWAY = 5
# Twice the peak memory of a gateway, 22 MB.
MEMORY_LIMIT_KB = 44_000
# Above the number of callers, so that no two seeds share a caller's random sequence.
CALLER_SEEDS_PER_SEED = 10_000
# A seed has up to this many callers whose requests crash servers, three servers each.
CRASHING_CALLERS_LIMIT = 2
SHOWN_FINDINGS_LIMIT = 12


async def run_seed(processes, folder, options, seed):
    """Run a system through the faults of a seed; return records and broken promises."""
    records = Records()
    timer = start_timer(processes)
    system = SoakSystem(
        processes,
        folder,
        records,
        options.gateways,
        options.servers,
        has_cold_servers(seed),
    )
    await system.start()
    records.cpu_history = CpuHistory(system.node_processes)
    plan = draw_plan(seed, options.seconds, options.gateways, options.servers)
    started_s = time.monotonic()
    records.started_s = started_s
    recovered_s = started_s + options.seconds + RECOVERY_S
    period = JudgedPeriod(system.servers, recovered_s, records.pauses)
    balancer = Balancer(system)
    background = [
        await curio.spawn(balancer.keep_checking, daemon=True),
        await curio.spawn(system.keep_reporting, daemon=True),
        await curio.spawn(system.keep_servers_up, daemon=True),
        await curio.spawn(records.pauses.keep_watching, daemon=True),
        await curio.spawn(records.cpu_history.keep_reading, daemon=True),
    ]
    async with curio.TaskGroup(wait=all) as group:
        await group.spawn(Faults(system).run, plan, started_s)
        for gateway in system.gateways:
            await group.spawn(Prober(gateway, records).run, period)
        for number in range(CALLERS_PER_GATEWAY * options.gateways):
            caller = Caller(balancer, records, seed * CALLER_SEEDS_PER_SEED + number)
            await group.spawn(caller.run, period)
        for number in range(seed % (1 + CRASHING_CALLERS_LIMIT)):
            own_seed = seed * CALLER_SEEDS_PER_SEED + number
            caller = CrashingCaller(balancer, records, own_seed, number % 2 == 0)
            await group.spawn(caller.run, period)
    for task in background:
        await task.cancel()
    # Work of servers for callers that disconnected at the end has stopped by then.
    await curio.sleep(SETTLING_S)
    for server in system.servers:
        await system.record_runs(server)
    _check_processes(system, records)
    records.pauses.read(timer.log_path)
    system.release_ports()
    records.judged_from_s = period.from_s
    return records, broken_promises(records, recovered_s)


def _check_processes(system, records):
    """Record gateways that exited, exceeded the memory limit or logged a traceback."""
    for gateway in system.gateways:
        if not gateway.process.running():
            status = gateway.process.exit_status
            records.troubles.append(f"{gateway.name} ended by itself, status {status}")
            continue
        peak_kb = _peak_memory_kb(gateway.process.pid)
        if peak_kb > MEMORY_LIMIT_KB:
            records.troubles.append(f"{gateway.name} took {peak_kb} KB")
        if "Traceback" in gateway.process.log_path.read_text(errors="replace"):
            records.troubles.append(f"{gateway.name} logged a traceback")


def _peak_memory_kb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    return 0


def _run_once(seed, options, progress):
    """Run one seed and return whether every promise held."""
    folder = Path(tempfile.mkdtemp(prefix=f"siskinthread-soak-{seed}-"))
    with Processes(folder) as processes:
        records, broken = curio.run(run_seed, processes, folder, options, seed)
    served = sum(call.is_served for call in records.calls)
    line = {
        "seed": seed,
        "calls": len(records.calls),
        "served": served,
        "faults": len(records.faults),
        "broken": len(broken),
        "judged_from_s": round(records.judged_from_s - records.started_s, 2),
        "pauses": [
            [round(one.began_s - records.started_s, 2), round(one.length_s, 2)]
            for one in records.pauses.of_machine
        ],
    }
    print(json.dumps(line), flush=True)
    if not broken:
        shutil.rmtree(folder)
        return True
    for text in records.faults:
        progress.say(text)
    for finding in broken[:SHOWN_FINDINGS_LIMIT]:
        progress.say(str(finding))
        span_s = finding.from_s, finding.until_s
        for pause in records.pauses.shown(*span_s, records.started_s):
            progress.say(f"  {pause}")
        for wait in records.cpu_history.shown(*span_s):
            progress.say(f"  {wait}")
    progress.say(f"logs and settings are kept in {folder}")
    return False


def _seeds(options):
    if options.failed:
        lines = FAILED_SEEDS.read_text().splitlines()
        return [int(line.split(":")[0]) for line in lines if line[:1].isdigit()]
    if options.seeds:
        first, _, last = options.seeds.partition("-")
        return range(int(first), int(last or first) + 1)
    return [options.seed]


def _read_options(arguments):
    parser = argparse.ArgumentParser(
        prog="soak", description="Randomized failure runs; see scripts/soak."
    )
    parser.add_argument("--seed", type=int, default=1, help="the one seed to run")
    parser.add_argument("--seeds", help="a range of seeds, as 1-50")
    parser.add_argument(
        "--failed", action="store_true", help="run the seeds that ever failed"
    )
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="time in which faults begin"
    )
    parser.add_argument("--gateways", type=int, default=3, help="number of gateways")
    parser.add_argument("--servers", type=int, default=4, help="number of servers")
    return parser.parse_args(arguments)


def main(arguments):
    """Run the seeds; return the exit status."""
    options = _read_options(arguments)
    progress = Progress()
    failed = []
    try:
        with interruptible():
            for seed in _seeds(options):
                if not _run_once(seed, options, progress):
                    failed.append(seed)
    except Interrupted as interruption:
        progress.say(f"ended by {interruption}")
        return 130
    except StartError as error:
        progress.say(f"could not run: {error}")
        return 2
    progress.say(f"seeds that broke a promise: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
