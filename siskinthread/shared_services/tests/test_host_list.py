"""The client of the host list against the stand-in."""

import argparse
import json

import curio
import pytest

from siskinthread.settings import Address
from siskinthread.shared_services import HostListClient, PlatformSettings
from standins._http_server import HttpServer
from standins.host_list import Change, HostListStandin


class CountingExchange:
    """Records the size of each body."""

    def __init__(self, exchange, sizes_bytes):
        self._exchange = exchange
        self._sizes_bytes = sizes_bytes

    async def answer(self, status, body, **options):
        """Forward an answer."""
        self._sizes_bytes.append(len(body))
        await self._exchange.answer(status, body, **options)


def entry(host):
    """Return a host in the form in which the service returns it."""
    return {
        "host": host,
        "role": "agent",
        "address": "127.0.0.1",
        "port": 1,
        "failure_domain": "steinkjer",
    }


def test_unchanged_list_is_not_sent_again():
    """An unchanged list is not transferred again, and a change is seen at once.

    If every read transferred the whole list, which is read once a second and rarely
    changes, each of 1000 hosts would receive 120 KB/s.
    """
    standin = HostListStandin(argparse.Namespace(lag_s=0.0))
    sizes_bytes = []

    async def handle(request, exchange):
        await standin.handle(request, CountingExchange(exchange, sizes_bytes))

    async def main():
        async with HttpServer(handle) as server:
            address = Address(server.host, server.port)
            client = HostListClient(PlatformSettings(log=address, host_list=address))
            standin._changes.append(Change(0.0, "a", entry("a")))
            for _ in range(3):
                assert [line.host for line in await client.fetch()] == ["a"]
            standin._changes.append(Change(0.0, "b", entry("b")))
            assert [line.host for line in await client.fetch()] == ["a", "b"]
            standin._changes.append(Change(0.0, "a", None))
            assert [line.host for line in await client.fetch()] == ["b"]
            await client.close()

    curio.run(main)
    whole = len(json.dumps([entry("a")]))
    assert sizes_bytes[:3] == [whole, 0, 0]
    assert all(sizes_bytes[3:])


# JSON of an entry of another writer; MARK stands for a sound host's fields.
ODD_FIELDS = {
    "port out of range": '"port": 65536',
    "port 0": '"port": 0',
    "port -1": '"port": -1',
    "port 1e400": '"port": 1e400',
    "port NaN": '"port": NaN',
    "port of 5,000 digits": '"port": ' + "1" * 5000,
    "port is a text": '"port": "1"',
    "port is true": '"port": true',
    "port is null": '"port": null',
    "address of words": '"address": "in the cellar"',
    "address is null": '"address": null',
    "address is a number": '"address": 7',
    "address is a list": '"address": ["127.0.0.1"]',
    "address is empty": '"address": ""',
    "name is null": '"host": null',
    "name is a number": '"host": 7',
    "name is a surrogate": '"host": "\\ud800"',
    "name with a line end": '"host": "a\\n"',
    "domain is a list": '"failure_domain": ["a"]',
}
ODD_ENTRIES = {
    "number": "7",
    "null": "null",
    "text": '"a"',
    "list": "[]",
    "empty object": "{}",
    "number of 5,000 digits": "1" * 5000,
}


def odd_entries():
    """Return the JSON of each odd entry by name."""
    fields = {
        # The last of two values of a field counts.
        name: json.dumps(entry("odd"))[:-1] + f", {literal}}}"
        for name, literal in ODD_FIELDS.items()
    }
    return fields | ODD_ENTRIES


@pytest.mark.parametrize("odd", odd_entries().values(), ids=odd_entries())
def test_odd_entry_names_no_host_and_the_others_hold(odd):
    """Guards against one entry of another writer that hides all hosts."""

    async def handle(request, exchange):
        sound = [json.dumps(entry(name)) for name in ("a", "b")]
        body = f"[{sound[0]}, {odd}, {sound[1]}]".encode()
        await exchange.answer(200, body)

    async def main():
        async with HttpServer(handle) as server:
            address = Address(server.host, server.port)
            client = HostListClient(PlatformSettings(log=address, host_list=address))
            assert [line.host for line in await client.fetch()] == ["a", "b"]
            await client.close()

    curio.run(main)
