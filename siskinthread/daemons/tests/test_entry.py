"""Tests of the entry process as a whole."""

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
    """Return settings of an entry whose platform does not answer."""
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
    """Return the HTTP status of a page."""
    async with await curio.open_connection(*address) as socket:
        request = f"GET {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n"
        await socket.sendall(request.encode())
        return int((await socket.recv(4096)).split()[1])


def test_entry_cut_off_from_its_start_is_alive_not_ready_and_stops(monkeypatch):
    """Without log and peers an entry runs, is not ready, and stops with status 0.

    Symptom: callers are sent to an entry that refuses everything, or an entry hangs at
    its stop.  Sequence: it starts while its failure domain is cut off, then gets
    SIGTERM.  Cause: readiness did not look for a configuration, or a task that waits
    for the platform held up the drain.
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
    """Among more agents than an entry links to, every service has links.

    Symptom: ``no_target`` for a service with few hosts, at some entries only.
    Sequence: the host list names 200 agents, two of which a placement gives to one
    service.  Cause: the subset was taken from all agents, whatever they serve.
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
