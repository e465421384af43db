"""Run of the path measurement, with processes of each role.

It imports scripts of the checkout; see `siskinthread.measurement._checkout`.
"""

import sys
import time
from pathlib import Path

import curio

from scripts._cluster import Cluster, control
from scripts._cluster_options import ClusterOptions
from siskinthread.errors import MeasurementError
from siskinthread.measurement._machine import watch_machine
from siskinthread.measurement._path_figures import (
    LevelFigures,
    LoadFigures,
    MEDIAN,
    RoleFigures,
    TAIL,
)
from siskinthread.measurement._path_load import LoadOrder, LoadResult
from siskinthread.measurement._path_report import AGENT, ENTRY, PathReport
from siskinthread.measurement._path_schedule import LoadLevel
from siskinthread.measurement._process_usage import core_share, read_usage, wait_share

LOAD_MODULE = "siskinthread.measurement._path_load"
ENGINE = "engine"
ENGINES = 16
BATCH_CAPACITY = 256
STEP_MS = 78.0
STEP_S = STEP_MS / 1000
SHARE_REQUESTS_PER_S = 20.0
TOKENS_PER_REQUEST = 256
SHORT_REQUESTS_PER_S = 100.0
SHORT_TOKENS_PER_REQUEST = 16
REQUESTS_PER_CALLER_PROCESS_PER_S = 10.0
START_WAIT_S = 1.5
END_WAIT_S = 10.0
SETTLE_S = 1.0
POLL_INTERVAL_S = 0.05
IN_FLIGHT_LIMIT = 8000
"""More than the streams of four shares, so that the entry does not shed load."""


class PathPlan:
    """Levels of load and their durations.

    Parameters
    ----------
    multiples : tuple of int
        Multiples of the share, in ascending order from 1.
    share_window_s : float
        Window at the share, both through the entry and directly, seconds.
    window_s : float
        Window at the other levels, seconds.
    idle_s : float
        Time without requests that is measured, seconds.
    """

    __slots__ = ("idle_s", "multiples", "share_window_s", "window_s")

    def __init__(self, multiples, share_window_s, window_s, idle_s):
        self.multiples = multiples
        self.share_window_s = share_window_s
        self.window_s = window_s
        self.idle_s = idle_s

    def share_level(self, name):
        """Return the level at the share."""
        return self._share_level(name, 1, self.share_window_s)

    def multiple_levels(self):
        """Return the levels at the multiples of the share."""
        return [
            self.share_level("share")
            if multiple == 1
            else self._share_level(f"share_x{multiple}", multiple, self.window_s)
            for multiple in self.multiples
        ]

    def short_level(self):
        """Return the level of short answers, to separate request and token costs."""
        return LoadLevel(
            "short_answers",
            SHORT_REQUESTS_PER_S,
            SHORT_TOKENS_PER_REQUEST,
            STEP_S,
            2.0,
            self.window_s,
        )

    def _share_level(self, name, multiple, window_s):
        # All streams of the steady state start within the ramp: about 130 streams/s at
        # the share, a rate that the entry can handle in addition to the tokens.
        ramp_s = 2.0 + multiple
        requests_per_s = multiple * SHARE_REQUESTS_PER_S
        return LoadLevel(
            name, requests_per_s, TOKENS_PER_REQUEST, STEP_S, ramp_s, window_s
        )


FULL_PLAN = PathPlan((1, 2, 3, 4), share_window_s=16.0, window_s=7.0, idle_s=3.0)
QUICK_PLAN = PathPlan((1, 3), share_window_s=6.0, window_s=4.0, idle_s=2.0)


class PathRun:
    """One run of the path measurement.

    Parameters
    ----------
    plan : PathPlan
        Levels and durations.
    processes : scripts._processes.Processes
        Starter of the processes.
    folder : pathlib.Path
        Temporary folder for results and logs.
    on_progress : callable
        Called with each line on the progress.
    """

    __slots__ = ("_cluster", "_folder", "_on_progress", "_plan", "_processes")

    def __init__(self, plan, processes, folder, on_progress):
        options = ClusterOptions(
            failure_domains=("trondheim-a",),
            entries=1,
            engines=ENGINES,
            plain_services=0,
            step_ms=STEP_MS,
            batch_capacity=BATCH_CAPACITY,
            entry_settings={"admission": {"in_flight_limit": IN_FLIGHT_LIMIT}},
        )
        self._plan = plan
        self._processes = processes
        self._folder = folder
        self._on_progress = on_progress
        self._cluster = Cluster(options, processes, folder)

    async def run(self):
        """Start all processes, run all levels and return the `PathReport`."""
        plan = self._plan
        cluster = self._cluster
        await cluster.start()
        self._on_progress(f"ready: one entry, {ENGINES} agents, {ENGINES} engines")
        idle = await self._measure_idle()
        engines = [agent.target_address for agent in cluster.agents]
        direct = await self._measure(plan.share_level("direct"), engines)
        entries = cluster.entry_addresses
        short = await self._measure(plan.short_level(), entries)
        multiples = []
        for level in plan.multiple_levels():
            multiples.append(await self._measure(level, entries))
        return PathReport(idle, direct, short, multiples)

    async def _measure_idle(self):
        before = self._read_usages()
        await curio.sleep(self._plan.idle_s)
        return _role_figures(before, self._read_usages())

    async def _measure(self, level, addresses):
        """Run one level and return its `LevelFigures`."""
        starts_at_s = time.monotonic() + START_WAIT_S
        orders = self._orders(level, addresses, starts_at_s)
        callers = [self._start_callers(order) for order in orders]
        await _sleep_until(orders[0].window_starts_at_s)
        usages, made = self._read_usages(), await self._read_token_count()
        machine = await watch_machine(orders[0].window_ends_at_s)
        roles = _role_figures(usages, self._read_usages())
        made_tokens_per_s = (await self._read_token_count() - made) / level.window_s
        load = LoadFigures.of(level, await self._collect(callers, orders))
        figures = LevelFigures(level, load, made_tokens_per_s, roles, machine)
        self._on_progress(_describe(figures))
        await curio.sleep(SETTLE_S)
        return figures

    def _orders(self, level, addresses, starts_at_s):
        parts = max(2, round(level.requests_per_s / REQUESTS_PER_CALLER_PROCESS_PER_S))
        return [
            LoadOrder(
                level,
                part,
                parts,
                addresses,
                addresses != self._cluster.entry_addresses,
                starts_at_s,
                str(self._folder / f"{level.name}-{part}.json"),
            )
            for part in range(parts)
        ]

    def _start_callers(self, order):
        return self._processes.start(
            f"callers-{order.level.name}-{order.part}",
            [sys.executable, "-m", LOAD_MODULE, order.to_json()],
        )

    async def _collect(self, callers, orders):
        deadline_s = time.monotonic() + END_WAIT_S
        while any(process.running() for process in callers):
            if time.monotonic() > deadline_s:
                raise MeasurementError("the callers did not end in time")
            await curio.sleep(POLL_INTERVAL_S)
        for process in callers:
            if process.exit_status != 0:
                raise MeasurementError(f"callers failed; {process.log_tail()}")
        return [
            LoadResult.from_json(Path(order.result_path).read_text())
            for order in orders
        ]

    def _read_usages(self):
        cluster = self._cluster
        processes = {
            ENTRY: [entry.process for entry in cluster.entries],
            AGENT: [agent.process for agent in cluster.agents],
            ENGINE: [agent.target_process for agent in cluster.agents],
        }
        return {
            role: [read_usage(process.pid) for process in started]
            for role, started in processes.items()
        }

    async def _read_token_count(self):
        counts = [
            await control(agent.target_address, "GET", "/counts")
            for agent in self._cluster.agents
        ]
        return sum(count["tokens"] for count in counts)


def _role_figures(before, after):
    """Return the `RoleFigures` by role from two readings of the usage."""
    figures = {}
    for role, usages in after.items():
        count = len(usages)
        figures[role] = RoleFigures(
            count,
            sum(map(core_share, before[role], usages)) / count,
            sum(map(wait_share, before[role], usages)) / count,
            sum(usage.resident_bytes for usage in usages) / count,
            max(usage.peak_resident_bytes for usage in usages),
        )
    return figures


def _describe(figures):
    level, load = figures.level, figures.load
    entry = figures.roles[ENTRY]
    return (
        f"{level.name}: {level.tokens_per_s:.0f} tokens/s offered, "
        f"{100 * figures.delivered_share:.1f} % arrived, first token "
        f"{load.first_token_ms(MEDIAN):.1f} ms, 99th percentile "
        f"{load.first_token_ms(TAIL):.1f} ms, entry "
        f"{100 * entry.core_share:.1f} % of a core (waited "
        f"{100 * entry.wait_share:.1f} % of the time)"
    )


async def _sleep_until(time_s):
    await curio.sleep(max(0.0, time_s - time.monotonic()))
