"""Kept connections to targets, and the preference for targets that have one."""

import errno
import socket

import curio
import pytest

from siskinthread.errors import TargetError
from siskinthread.gateway import GatewaySettings, RequestKind
from siskinthread.gateway._connection_settings import ConnectionSettings
from siskinthread.gateway._idle_connections import IdleConnections
from siskinthread.gateway._target_connection import TargetConnection
from siskinthread.gateway.tests.connection_replay import (
    ConnectionReplay,
    group_per_domain,
    Kind,
)
from siskinthread.gateway.tests.parts import entry
from siskinthread.gateway.tests.test_target_choice import ManyPeers, Parts
from siskinthread.timing import Deadline, SYSTEM_CLOCK


class FakeConnection:
    """A kept connection that its target may have closed."""

    def __init__(self, is_closed=False):
        self.is_closed = is_closed

    def is_reusable(self):
        """Return whether the connection may carry a request."""
        return not self.is_closed


def choose_often(parts, kind=RequestKind.STREAM_RESUMABLE, count=20):
    """Return the instance ids chosen for a number of requests."""
    request = parts.request()
    request.route.kind = kind
    return {parts.choice.choose(request, set()).instance_id for _ in range(count)}


def keep(parts, *instance_ids, is_closed=False):
    """Keep a connection to each of the targets."""
    for instance_id in instance_ids:
        parts.pool.idle.add(instance_id, FakeConnection(is_closed))


def equal_targets(settings=None):
    """Return target selection over four equal ranks of a group."""
    entries = [entry(f"i-{number}") for number in range(4)]
    parts = Parts(*entries, settings=settings) if settings else Parts(*entries)
    parts.choice.group_of = lambda instance_id: "g"
    return parts


def test_target_with_a_connection_goes_before_equal_ones():
    """A request opened a connection although an equal target had an idle one."""
    parts = equal_targets()
    keep(parts, "i-1", "i-2")
    assert choose_often(parts) == {"i-1", "i-2"}


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.STREAM_ONCE])
def test_request_that_must_not_run_twice_is_placed_without_connections(kind):
    """Such a request never reuses a connection, so it must not prefer its target."""
    parts = equal_targets()
    keep(parts, "i-1")
    assert choose_often(parts, kind, count=60) == {"i-0", "i-1", "i-2", "i-3"}


def test_closed_connection_is_not_preferred():
    """A request preferred a target for a connection that was already closed."""
    parts = equal_targets()
    keep(parts, "i-1", is_closed=True)
    assert len(choose_often(parts, count=60)) == 4


def test_setting_disables_the_preference():
    """Operators must be able to place requests by load alone."""
    off = ConnectionSettings(is_preferred=False)
    parts = equal_targets(GatewaySettings(connections=off))
    keep(parts, "i-1")
    assert len(choose_often(parts, count=60)) == 4


def test_targets_without_a_group_all_get_requests():
    """Equal targets got no requests as long as one of them had a connection."""
    parts = Parts(*(entry(f"i-{number}") for number in range(4)))
    keep(parts, "i-1")
    assert len(choose_often(parts, count=60)) == 4


def test_full_target_is_not_chosen_for_its_connection_elsewhere():
    """With many peers, no full target of another failure domain is drawn."""
    for seed in range(20):
        many_peers = ManyPeers(near=[5, 5], away=[5, 4, 4], seed=seed)
        many_peers.choice.group_of = lambda instance_id: "g"
        keep(many_peers, "away-0", "away-2")
        assert choose_often(many_peers) <= {"away-1", "away-2"}


def test_connections_of_a_host_are_bounded():
    """Many targets with few connections each used up the file descriptors of a host."""
    limits = ConnectionSettings(idle_total_limit=3)
    idle = IdleConnections(GatewaySettings(connections=limits))
    kept = [FakeConnection() for _ in range(5)]
    surplus = [idle.add(f"i-{number}", one) for number, one in enumerate(kept)]
    assert surplus == [[], [], [], [kept[0]], [kept[1]]]
    assert len(idle) == 3
    assert not idle.has_reusable("i-0")
    assert idle.take("i-4") is kept[4]
    assert idle.drop_unusable({"i-2"}) == [kept[3]]


def ranks_with(loads, connected):
    """Return target selection over ranks of one group with 5 slots and given loads."""
    ranks = [entry(f"g-{number}", slots=5) for number in range(len(loads))]
    parts = Parts(*ranks)
    parts.choice.group_of = lambda instance_id: instance_id[0]
    for rank, load in zip(ranks, loads, strict=True):
        for _ in range(load):
            parts.loads.started(rank.instance_id)
    keep(parts, *connected)
    return parts


@pytest.mark.parametrize(
    ("loads", "connected", "chosen"),
    [
        ([0, 2, 2], ["g-1"], "g-1"),
        # The least loaded rank that has a connection.
        ([0, 2, 1], ["g-1", "g-2"], "g-2"),
        ([0, 3, 3], ["g-1", "g-2"], "g-0"),
        # Full ranks are excluded, even if the difference is small.
        ([3, 5, 5], ["g-1", "g-2"], "g-0"),
    ],
)
def test_rank_with_a_connection_may_be_a_little_busier(loads, connected, chosen):
    """Always choosing the least loaded rank opened a connection for each request."""
    assert choose_often(ranks_with(loads, connected)) == {chosen}


def test_busier_group_is_not_entered_for_a_connection():
    """The load of a group slows all its ranks, which costs more than a connection."""
    parts = Parts(entry("a-1"), entry("b-1"))
    parts.choice.group_of = lambda instance_id: instance_id[0]
    parts.loads.started("b-1")
    keep(parts, "b-1")
    assert choose_often(parts) == {"a-1"}


def replayed(is_preferred, group_of, host_count=12):
    """Return the figures of a replay."""
    connections = ConnectionSettings(is_preferred=is_preferred)
    replay = ConnectionReplay(host_count, connections, 4.0, group_of)
    replay.play(Kind("s", 1, request_kind=RequestKind.STREAM_RESUMABLE), 150.0, 16.0)
    return replay.figures()


def test_hosts_that_prefer_connections_spread_requests_as_evenly():
    """Some ranks got full as all hosts reused their connections to them."""
    before, after = replayed(False, group_per_domain), replayed(True, group_per_domain)
    assert after["new"] < before["new"] / 2
    assert after["jain"] > before["jain"] - 0.01
    assert after["met full"] <= before["met full"]
    assert after["at once"] <= before["at once"]


def test_targets_without_groups_are_served_as_before():
    """The preference changed target selection in deployments without groups."""
    assert replayed(True, None) == replayed(False, None)


ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


async def exchange(connection):
    """Send a request, and receive its answer."""
    deadline = Deadline.after(SYSTEM_CLOCK, 2.0)
    headers = [(b"host", b"a")]
    await connection.send_request("GET", "/", headers, b"", deadline)
    await connection.receive_head(deadline, lambda head: True)
    assert await connection.receive_data(deadline) is None


def with_kept_connection(check, stated_s=None, settings=None):
    """Run a check with a kept connection and the target's end of it."""

    async def serve(client, address):
        await client.recv(1000)
        await client.sendall(ANSWER)
        held.append(client)
        await curio.sleep(5)

    async def run():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        server = await curio.spawn(curio.network.run_server, listener, serve)
        connection = TargetConnection(settings or GatewaySettings(), SYSTEM_CLOCK)
        await connection.open("127.0.0.1", port, Deadline.after(SYSTEM_CLOCK, 2.0))
        await exchange(connection)
        assert await connection.make_idle(stated_s)
        await check(connection, held[0])
        await connection.close()
        await server.cancel()

    held = []
    curio.run(run)


@pytest.mark.parametrize("how", ["close", "reset", "bytes"])
def test_connection_that_its_target_has_ended_is_detected(how):
    """A request was written to a connection that the target had closed."""

    async def check(connection, target_end):
        assert connection.is_reusable()
        if how == "bytes":
            await target_end.sendall(b"HTTP/1.1 408 Late\r\n\r\n")
        else:
            if how == "reset":
                at_once = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                target_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
            await target_end.shutdown(socket.SHUT_WR)
            await target_end.close()
        await curio.sleep(0.05)
        assert not connection.is_reusable()

    with_kept_connection(check)


@pytest.mark.parametrize(
    ("stated_s", "kept_s"), [(None, 4.0), (5, 2.5), (20, 10.0), (60, 15.0), (0, 0.0)]
)
def test_idle_time_is_half_of_what_the_target_states(stated_s, kept_s):
    """A connection was closed after 4 s although its target kept it for a minute."""

    async def check(connection, target_end):
        left_s = connection._idle_deadline.left_s()
        assert max(0.0, kept_s - 1.0) <= left_s <= kept_s

    with_kept_connection(check, stated_s)


def test_request_on_a_kept_connection_waits_no_longer_than_one_on_a_new_one():
    """A kept connection to a partitioned target delayed each request by 1.2 s."""

    async def check(connection, target_end):
        def limit_ms():
            option = socket.TCP_USER_TIMEOUT
            return connection._socket.getsockopt(socket.IPPROTO_TCP, option)

        assert limit_ms() == 1200
        deadline = Deadline.after(SYSTEM_CLOCK, 2.0)
        await connection.send_request("GET", "/", [(b"host", b"a")], b"", deadline)
        assert limit_ms() == 400

        async def fail(size):
            raise OSError(errno.ETIMEDOUT, "timed out")

        connection._socket.recv = fail
        with pytest.raises(TargetError):
            await connection.receive_head(deadline, lambda head: True)
        assert connection.is_unacknowledged

    with_kept_connection(check)
