"""The host list stand-in and the plain service stand-in."""

import argparse
import json

import curio

from scripts._caller_http import CallerConnection
from standins._http_server import HttpServer
from standins.host_list import HostListStandin
from standins.plain_service import answer_body, PlainServiceStandin

WAIT_S = 10.0


def _serve(handler, scenario):
    async def main():
        async with HttpServer(handler) as server:
            await scenario(CallerConnection((server.host, server.port)))

    curio.run(main)


def test_changes_become_visible_after_the_lag_only():
    """With a lag of an hour an added host is not listed; without a lag it is."""

    def scenario_for(lag_s, seen):
        async def scenario(connection):
            entry = b'{"host": "engine-1"}'
            await connection.call("PUT", "/hosts/engine-1", [], entry, WAIT_S)
            answer = await connection.call("GET", "/hosts", [], b"", WAIT_S)
            assert json.loads(bytes(answer.body)) == seen

        standin = HostListStandin(argparse.Namespace(lag_s=lag_s))
        _serve(standin.handle, scenario)

    scenario_for(3600.0, [])
    scenario_for(0.0, [{"host": "engine-1"}])


def test_a_plain_service_counts_a_run_whose_answer_was_lost():
    """Guards against a ledger that misses a run whose answer was lost."""

    standin = PlainServiceStandin(argparse.Namespace(capacity=1, delay_ms=0.0))

    async def scenario(connection):
        headers = [("x-request-id", "r-1"), ("idempotency-key", "k-1")]
        standin.die_before_answer = 1
        lost = await connection.call("POST", "/alerts", headers, b"{}", WAIT_S)
        assert lost.status is None
        answer = await connection.call("POST", "/alerts", headers, b"{}", WAIT_S)
        assert answer.body == answer_body(2, "POST", "/alerts", b"{}")
        ledger = await connection.call("GET", "/ledger", [], b"", WAIT_S)
        assert json.loads(bytes(ledger.body)) == {
            "r-1": {"runs": 2, "idempotency_key": "k-1", "finished": 2}
        }

    _serve(standin.handle, scenario)
