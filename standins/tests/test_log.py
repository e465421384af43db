"""The log stand-in, called through the real client."""

import argparse
import json

import curio
import pytest

from siskinthread.errors import PlatformUnavailableError
from siskinthread.settings import Address
from siskinthread.shared_services import LogClient, PlatformSettings
from standins._http_server import HttpServer
from standins.log import add_options, LogStandin


def _options(*arguments):
    parser = argparse.ArgumentParser()
    add_options(parser)
    return parser.parse_args(arguments)


def _run(scenario, *arguments):
    async def main():
        log = LogStandin(_options(*arguments))
        async with HttpServer(log.handle) as server:
            address = Address(server.host, server.port)
            settings = PlatformSettings(log=address, host_list=address)
            await scenario(LogClient(settings), log)

    curio.run(main)


def test_an_append_with_a_lost_answer_took_effect():
    """The publisher reads its record although the append was reported as failed."""

    async def scenario(client, log):
        log.lose_answers = 1
        with pytest.raises(PlatformUnavailableError):
            await client.append("configuration", b"one")
        span = await client.read("configuration", 0)
        assert [record.body for record in span.records] == [b"one"]

    _run(scenario)


def test_a_long_poll_ends_with_the_append():
    """A waiting read is answered as soon as a record is appended."""

    async def scenario(client, log):
        reading = await curio.spawn(client.read, "s", 0, 500, 30.0)
        while not log.reads:
            await curio.sleep(0)
        await client.append("s", b"now")
        span = await curio.timeout_after(10, reading.join)
        assert [record.body for record in span.records] == [b"now"]

    _run(scenario)


def test_old_records_go():
    """Only the newest records are retained; the span states their first offset."""

    async def scenario(client, log):
        for number in range(5):
            await client.append("s", b"%d" % number)
        span = await client.read("s", 0)
        assert (span.first_offset, span.next_offset) == (3, 5)
        assert [record.offset for record in span.records] == [3, 4]

    _run(scenario, "--keep-records", "2", "--appends-per-s", "10000")


def test_a_truncated_log_comes_back_shorter():
    """After the truncation, offsets that readers have already seen are reused."""

    async def scenario(client, log):
        for number in range(3):
            await client.append("s", b"%d" % number)
        log.streams["s"].truncate(1)
        assert (await client.read("s", 0)).next_offset == 1
        assert await client.append("s", json.dumps("again").encode()) == 1

    _run(scenario, "--appends-per-s", "10000")


def test_an_outage_is_an_unavailable_service():
    """While the log is down every request fails; afterwards its records are intact."""

    async def scenario(client, log):
        await client.append("s", b"kept")
        log.down = True
        with pytest.raises(PlatformUnavailableError):
            await client.read("s", 0)
        log.down = False
        assert len((await client.read("s", 0)).records) == 1

    _run(scenario)
