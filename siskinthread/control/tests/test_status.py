"""The operators' report of the configuration in force on each host."""

import contextlib
import json

import curio

from siskinthread.configuration.tests.nodes import changed_log
from siskinthread.control import OperatorServer
from siskinthread.control._status_report import StatusReport
from siskinthread.control._survey import HostView, StatusSettings, survey_hosts
from siskinthread.control.tests.nodes import (
    AgentNode,
    all_at,
    EntryNode,
    LOOPBACK,
    NodeSettings,
    running,
)
from siskinthread.settings import Address, Key, KeyList
from siskinthread.shared_services import HostEntry
from siskinthread.wire import ConfigurationStatus, PeerSettings
from standins._http_server import HttpServer


class OperatedEntry(EntryNode):
    """An entry that listens for operators."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._listening = curio.tcp_server_socket(LOOPBACK, 0)
        self._address = Address(*self._listening.getsockname())
        self._operators = OperatorServer(
            self.identity, self.settings.peers, self.control
        )

    def address(self):
        """Return the address to which operators connect."""
        return self._address

    async def start(self):
        """Start the operator server, the links and the control plane."""
        self.tasks.append(await curio.spawn(self._operators.run, self._listening))
        await super().start()


@contextlib.asynccontextmanager
async def host_list(nodes):
    """Serve a host list and yield its address."""
    lines = []
    for node in nodes:
        entry = node.listed()
        lines.append({name: getattr(entry, name) for name in HostEntry.__slots__})

    async def handle(request, exchange):
        await exchange.answer_json(200, lines)

    async with HttpServer(handle) as server:
        yield Address(server.host, server.port)


def survey_three(keys):
    """Return the views of an agent, an entry, and an entry that does not listen."""

    async def run():
        log = changed_log(3)
        settings = NodeSettings()
        agent = AgentNode("a1", log, settings)
        entry, absent = (
            OperatedEntry("e1", log, settings),
            EntryNode("e2", log, settings),
        )
        entry.link_to(agent)
        async with (
            host_list([agent, entry, absent]) as address,
            running(agent, entry),
        ):
            await all_at(2, agent, entry)
            peers = PeerSettings(keys=KeyList(keys), handshake_wait_s=0.5)
            return await survey_hosts(StatusSettings(host_list=address, peers=peers))

    return curio.run(run)


def test_every_host_is_asked_and_silent_ones_are_named():
    """An unreachable host is reported as such and doesn't delay the others."""
    views = survey_three([Key("shared", "secret of the tests")])
    assert [view.entry.host for view in views] == ["a1", "e1", "e2"]
    assert [view.version for view in views] == [2, 2, None]
    assert views[0].age_s is not None
    assert "can't reach" in views[2].problem


def test_nothing_is_told_without_the_key():
    """A client on the network without the key can't read the configuration's version.

    An operator's command connects with another key.
    """
    views = survey_three([Key("shared", "another secret")])
    assert [view.status for view in views] == [None, None, None]
    assert all(view.problem for view in views)


def view(host, domain, version, age_s=1.0, chain="c", leaving=False):
    """Return the view of a host; a version of None means that it did not answer."""
    entry = HostEntry(host, "agent", LOOPBACK, 1, domain, leaving)
    if version is None:
        return HostView(entry, problem="no answer in time")
    age_ms = round(age_s * 1000)
    return HostView(entry, ConfigurationStatus(version, chain, age_ms, None, version))


def report(*views):
    peers = PeerSettings(keys=[])
    settings = StatusSettings(host_list=Address(LOOPBACK, 1), peers=peers)
    return StatusReport(views, settings)


def test_exit_codes_tell_old_hosts_from_silent_ones():
    """Each state of the hosts has the exit code documented in the help text."""
    current = view("a1", "d1", 4)
    cases = [
        (0, [current, view("a2", "d2", 4)]),
        (0, [current, view("a2", "d2", None, leaving=True)]),
        (3, [current, view("a2", "d2", 3)]),
        (3, [current, view("a2", "d2", 4, age_s=31.0)]),
        (3, [current, view("a2", "d2", 4, chain="other")]),
        (3, [view("a2", "d2", None)]),
        (3, [view("a2", "d2", -1)]),
        (4, [current, view("a2", "d2", None)]),
        (3, [current, view("a2", "d2", None), view("a3", "d2", 3)]),
    ]
    assert [report(*views).exit_code for _, views in cases] == [
        code for code, _ in cases
    ]


def test_report_groups_hosts_by_failure_domain():
    """Outdated and silent hosts are named under their failure domain."""
    found = report(
        view("a1", "d1", 4),
        view("a2", "d1", 3, age_s=95.0),
        view("b1", "d2", None),
        view("b2", "d2", 4, age_s=40.0),
    )
    assert found.render(as_json=False) == (
        "Version 4 is in force on 2 of 4 hosts.\n"
        "d1:\n"
        "  version 4 on 1 of 2 hosts, oldest view 1.0 s\n"
        "  version 3 on 1 of 2 hosts, oldest view 95.0 s: a2\n"
        "d2:\n"
        "  version 4 on 1 of 2 hosts, oldest view 40.0 s\n"
        "    old view: b2\n"
        "  no answer from 1 of 2 hosts:\n"
        "    b1 (agent): no answer in time"
    )
    as_json = json.loads(found.render(as_json=True))
    assert as_json["failure_domains"]["d2"] == {
        "hosts": 2,
        "no_answer": 1,
        "versions": [{"version": 4, "hosts": 1, "oldest_view_s": 40.0}],
    }
