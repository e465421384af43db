"""News between entry hosts over loopback."""

import curio
import pytest
from hypothesis import given, strategies as st

from siskinthread.errors import ProtocolError
from siskinthread.peer_news import News, PeerNews, PeerNewsSettings
from siskinthread.settings import Address
from siskinthread.timing import ManualClock, SYSTEM_CLOCK

SETTINGS = PeerNewsSettings(
    interval_s=0.01, quiet_interval_s=0.02, fresh_limit_s=0.2, forget_after_s=0.6
)
HANG_S = 10.0


def free_addresses(count):
    """Return addresses whose UDP ports are free."""
    sockets = [curio.socket.socket(type=curio.socket.SOCK_DGRAM) for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    addresses = [Address(*one.getsockname()) for one in sockets]
    for one in sockets:
        one._socket.close()
    return addresses


def build(address, first_peers, described):
    """Return the news of one host."""
    news = PeerNews(SETTINGS, address, first_peers, SYSTEM_CLOCK)
    news.describe = lambda: described
    return news


async def until(condition):
    """Wait until a condition holds."""
    async with curio.timeout_after(HANG_S):
        while not condition():
            await curio.sleep(0.005)


def test_hosts_learn_of_one_another_by_one_that_they_know():
    """Three hosts that know only the first one hear of all loads and versions."""

    async def main():
        addresses = free_addresses(3)
        first = addresses[0]
        hosts = [
            build(one, [first], (number + 4, number > 0, {"i-1": number}))
            for number, one in enumerate(addresses)
        ]
        tasks = [await curio.spawn(host.run) for host in hosts]
        await until(lambda: all(len(host._peers) == 2 for host in hosts))
        await until(lambda: hosts[2].counts("i-1") == 1)
        await until(lambda: hosts[0].counts("i-1") == 3)
        result = hosts[0].newest_version(), hosts[0].informed_peers()
        for task in tasks:
            await task.cancel()
        return result, addresses

    (version, informed), addresses = curio.run(main)
    assert version == 6
    assert informed == [addresses[2], addresses[1]]


def test_silent_host_does_not_count_for_long():
    """Symptom: targets look busy that are idle.

    Events: an entry host with requests under way loses its power.
    """
    clock = ManualClock()
    here, there = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
    news = PeerNews(SETTINGS, here, [], clock)
    news._take(News(there, 5, True, {"i-1": 4}, []))
    assert news.counts("i-1") == 4
    clock.advance(SETTINGS.fresh_limit_s + 0.01)
    assert news.counts("i-1") == 0
    assert news.newest_version() == 0
    clock.advance(SETTINGS.forget_after_s)
    news._forget_silent()
    assert not news._peers


@given(st.binary(max_size=100))
def test_any_datagram_is_news_or_an_error(data):
    """Nothing that arrives ends the task that reads."""
    with pytest.raises(ProtocolError):
        News.decode(data)


def test_news_come_back_as_they_were_sent():
    """A datagram holds everything."""
    peer = Address("10.0.0.1", 7340)
    news = News.decode(News(peer, 3, True, {"i-1": 2}, [peer]).encode())
    assert (news.sender, news.table_version, news.is_informed) == (peer, 3, True)
    assert (news.counts, news.peers) == ({"i-1": 2}, [peer])
