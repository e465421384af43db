"""Tests of the assembled entry process."""

import os
import signal

import curio

from siskinthread.callers import CallerServer, CallerSettings
from siskinthread.configuration import (
    ConfigurationSettings,
    Host,
    Placement,
    Selector,
    Service,
    State,
)
from siskinthread.daemons import EntrySettings, run_entry
from siskinthread.daemons._entry import Entry
from siskinthread.settings import Address, Key, KeyList
from siskinthread.shared_services import HostEntry, PlatformSettings
from siskinthread.wire import PeerSettings

NOWHERE = Address("127.0.0.1", 1)


def make_settings():
    """Return settings of an entry that can't reach the platform."""
    return EntrySettings(
        host="entry-1",
        failure_domain="steinkjer",
        callers_listen=Address("127.0.0.1", 0),
        callers=CallerSettings(balancer_notice_s=0.0, watch_interval_s=0.01),
        configuration=ConfigurationSettings(retry_wait_first_s=0.01),
        peers=PeerSettings(keys=KeyList([Key("shared", "secret of the tests")])),
        platform=PlatformSettings(log=NOWHERE, host_list=NOWHERE),
    )


async def fetch_status(address, path):
    """Return the HTTP status code of a page."""
    async with await curio.open_connection(*address) as socket:
        request = f"GET {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n"
        await socket.sendall(request.encode())
        return int((await socket.recv(4096)).split()[1])


def test_entry_cut_off_from_its_start_is_alive_not_ready_and_stops(monkeypatch):
    """An entry without log and peers is live, not ready, and exits with status 0.

    Guards against an entry that is started while its failure domain is cut off and
    reports itself ready without a configuration, so that it gets requests which it
    refuses, or hangs after SIGTERM because a task that waits for the platform delays
    the drain.
    """
    statuses = []
    listening_on = curio.Queue()
    serve = CallerServer.run

    async def note_address_and_serve(server, listening):
        await listening_on.put(listening.getsockname())
        await serve(server, listening)

    async def probe_and_stop(entry):
        address = await listening_on.get()
        statuses.append(await fetch_status(address, "/healthz"))
        statuses.append(await fetch_status(address, "/readyz"))
        os.kill(os.getpid(), signal.SIGTERM)

    monkeypatch.setattr(CallerServer, "run", note_address_and_serve)
    monkeypatch.setattr(Entry, "_follow_host_list", probe_and_stop)
    assert run_entry(make_settings()) == 0
    assert statuses == [200, 503]


def test_links_reach_a_small_service_once_it_is_configured():
    """An entry that links to a subset of the agents has links for each service.

    Guards against ``no_target`` at some entries for a service with 2 of 200 agents,
    which occurs if the subset is drawn from all agents regardless of their services.
    """
    agents = [
        HostEntry(f"host-{index:03d}", "agent", "127.0.0.1", 1, "steinkjer", False)
        for index in range(200)
    ]
    hosts = [
        Host(entry.host, {"runs": "varsel" if index < 2 else "drafts"})
        for index, entry in enumerate(agents)
    ]
    services = [Service(name, {"name": name}, "plain") for name in ("varsel", "drafts")]
    placements = [
        Placement(name, {}, Selector(f"name={name}"), Selector(f"runs={name}"))
        for name in ("varsel", "drafts")
    ]
    entry = Entry(make_settings())
    entry._membership.replace(agents)
    assert len(entry._links._links) < 60
    entry._view.advance(State(1, [*hosts, *services, *placements]))
    linked = {host for host, link in entry._links._links.items() if not link.retired}
    assert {"host-000", "host-001"} <= linked
    assert len(linked) < 60
