"""The gateway process on the platform's hosts."""

import os
import random
import sys
from pathlib import Path

import curio

from siskinthread.errors import SettingsError
from siskinthread.gateway import Gateway
from siskinthread.observability import Metrics, part_logger, set_up_logging
from siskinthread.peer_news import PeerGossip
from siskinthread.platform._group_control import GroupControl
from siskinthread.platform._host_settings import (
    read_host_settings,
    SETTINGS_VARIABLE,
)
from siskinthread.platform._rank_places import RANK_PLACES_PATH
from siskinthread.platform._reader_pages import (
    CONFIGURATION_PATH,
    fetch_peer_table,
    fetch_peer_targets,
    ReaderPages,
    TARGET_LIST_PATH,
)
from siskinthread.platform._snapshots import (
    fetch_snapshot,
    own_snapshot_page,
    SNAPSHOT_PATH,
)
from siskinthread.platform._sources import ListedTargets, PublishedTables
from siskinthread.platform._store import StoreClient
from siskinthread.platform._stored_suspects import StoredSuspects
from siskinthread.platform._tuning import TuningSettings
from siskinthread.platform._wire import PlatformWire
from siskinthread.settings import load_section
from siskinthread.source_eras import EraWatch
from siskinthread.supervision import run_until_stopped
from siskinthread.timing import SYSTEM_CLOCK

EXIT_USAGE = 2
BACKLOG = 1024
READY_PATH = "/siskinthread/ready"
METRICS_PATH = "/metrics"
# The store answers in 4 ms; slowed down by a factor of 60 it takes 0.25 s.
STORE_ANSWER_WAIT_S = 0.8
# The latency to peers is below 15 ms, and a snapshot takes a few milliseconds to build.
PEER_ANSWER_WAIT_S = 0.3
SETTINGS_INTERVAL_S = 2.0
# Part of the grace period that is left unused, so that the process ends before it is
# killed.
HAND_OVER_MARGIN_S = 0.2
BITS_PER_MEGABIT = 1_000_000
BITS_PER_BYTE = 8

_logger = part_logger("platform")


class GatewayDaemon:
    """The gateway process.

    Parameters
    ----------
    path : pathlib.Path
        The settings file that the platform writes.
    text : str
        Contents of the file.
    tuning : TuningSettings
        The project's own settings.
    """

    __slots__ = (
        "_gateway",
        "_group_control",
        "_reader_pages",
        "_path",
        "_settings",
        "_tables",
        "_targets",
        "_text",
    )

    def __init__(self, path, text, tuning):
        self._path = path
        self._text = text
        self._settings = settings = read_host_settings(text, str(path))
        metrics = Metrics()
        calls = metrics.counter(
            "platform_store_calls", "Calls to the platform's store.", ("call",)
        )
        eras = EraWatch(metrics)
        store = StoreClient(settings.store, STORE_ANSWER_WAIT_S, calls, eras)
        self._tables = PublishedTables(store)
        self._targets = ListedTargets(store, settings.store)
        self._gateway = Gateway(
            _with_limits(tuning.gateway, settings),
            settings.failure_domain,
            PlatformWire(),
            self._tables,
            self._targets,
            SYSTEM_CLOCK,
            metrics,
            random.Random(),
            eras,
        )
        peers = PeerGossip(
            tuning.peer_news,
            settings.peer_address,
            settings.failure_domain,
            settings.first_peers,
            SYSTEM_CLOCK,
            random.Random(),
        )
        peers.link_mbps = settings.link_mbps or 0.0
        self._gateway.attach_peers(
            peers, self._fetch_snapshot, self._fetch_table, self._fetch_targets
        )
        self._reader_pages = ReaderPages(
            self._tables,
            self._targets,
            self._gateway,
            tuning.gateway.hand_out_bytes_s,
            SYSTEM_CLOCK,
        )
        self._gateway.persist_suspects(StoredSuspects(store, SYSTEM_CLOCK))
        self._group_control = GroupControl(
            _with_link_rate(tuning.group_maps, settings),
            settings,
            self._gateway,
            store,
            metrics,
        )

    async def run(self):
        """Run until SIGTERM and the drain after it."""
        settings = self._settings
        _logger.event(
            "started",
            host=settings.host,
            failure_domain=settings.failure_domain,
            callers=str(settings.callers_listen),
            store=str(settings.store),
        )
        tasks = self._gateway.tasks()
        tasks["callers"] = self._serve_callers
        tasks["status"] = self._serve_status
        tasks["peers"] = self._serve_peers
        tasks["settings"] = self._watch_settings
        tasks |= self._group_control.tasks()
        await run_until_stopped(tasks, self._drain, self._reload)
        _logger.event("stopped", host=settings.host)

    async def _serve_callers(self):
        await self._gateway.serve_callers(_listen(self._settings.callers_listen))

    async def _serve_status(self):
        pages = {
            READY_PATH: self._gateway.ready_page,
            METRICS_PATH: self._gateway.metrics_page,
        }
        address = self._settings.status_listen
        await self._gateway.serve_pages(_listen(address), pages)

    async def _serve_peers(self):
        pages = {
            SNAPSHOT_PATH: self._snapshot_page,
            CONFIGURATION_PATH: self._reader_pages.table_page,
            TARGET_LIST_PATH: self._reader_pages.targets_page,
            RANK_PLACES_PATH: self._group_control.places_page,
            METRICS_PATH: self._gateway.metrics_page,
        }
        await self._gateway.serve_pages(_listen(self._settings.peer_address), pages)

    def _snapshot_page(self):
        return own_snapshot_page(self._tables, self._gateway)

    async def _fetch_snapshot(self, address):
        return await fetch_snapshot(address, PEER_ANSWER_WAIT_S)

    async def _fetch_table(self, address):
        return await fetch_peer_table(address, PEER_ANSWER_WAIT_S)

    async def _fetch_targets(self, address):
        return await fetch_peer_targets(address, PEER_ANSWER_WAIT_S)

    async def _drain(self):
        limit_s = self._settings.stop_limit_s
        begin_s = SYSTEM_CLOCK.monotonic_s()
        if not await self._gateway.drain(limit_s):
            _logger.event("requests were aborted at the end of the drain")
        # Finish a change under way first, as its group would otherwise remain held.
        left_s = limit_s - (SYSTEM_CLOCK.monotonic_s() - begin_s) - HAND_OVER_MARGIN_S
        await self._group_control.hand_over(max(0.0, left_s))

    async def _watch_settings(self):
        """Detect changes of the settings file that come without a signal."""
        while True:
            await curio.sleep(SETTINGS_INTERVAL_S)
            self._reload()

    def _reload(self):
        """Apply a changed settings file."""
        try:
            text = self._path.read_text()
            if text == self._text:
                return
            self._text = text
            settings = read_host_settings(text, str(self._path))
        except (OSError, UnicodeDecodeError, SettingsError) as error:
            _logger.event("changed settings are rejected", reason=str(error))
            return
        self._settings.stop_limit_s = settings.stop_limit_s
        _logger.event("settings reloaded", path=str(self._path))


def _with_limits(gateway, settings):
    """Return the gateway settings with the limits that the platform states."""
    cold = gateway.cold.with_values(**settings.cold_limits)
    return gateway.with_values(
        cold=cold,
        **settings.retry_limits,
        **settings.memory_limits,
        **settings.descriptor_limits,
    )


def _with_link_rate(group_maps, settings):
    """Return the settings of group maps with the rate of the host's link, if known."""
    if settings.link_mbps is None:
        return group_maps
    rate_bytes_s = settings.link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
    return group_maps.with_values(send_rate_bytes_s=rate_bytes_s)


def _listen(address):
    return curio.network.tcp_server_socket(address.host, address.port, backlog=BACKLOG)


def run_gateway(arguments):
    """Run the gateway; see `siskinthread.platform.main`."""
    try:
        tuning = _load_tuning(arguments)
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        print(f"settings can't be read: {error}", file=sys.stderr)
        return EXIT_USAGE
    output = set_up_logging(tuning.logging, sys.stdout, structured=True)
    try:
        path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
        daemon = GatewayDaemon(path, path.read_text(), tuning)
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        _logger.event("settings can't be read", path=str(path), reason=str(error))
        output.close()
        return 1
    try:
        curio.run(daemon.run)
    finally:
        output.close()
    return 0


def _load_tuning(arguments):
    if not arguments:
        return TuningSettings()
    name = arguments[0]
    return load_section(TuningSettings, Path(name).read_text(), name)
