"""The engine stand-in: complete answers, resumption, priorities, cancellation."""

import argparse
import json

import curio

from scripts._caller_http import CallerConnection
from standins._batching import Batcher, Run
from standins._http_server import HttpServer
from standins._ledger import Ledger
from standins.engine import add_options, EngineStandin
from standins.tokens import expected_answer

CONTENT = {
    "model": "m",
    "messages": [{"role": "user", "content": "a leaking valve"}],
    "max_tokens": 12,
    "stream": True,
}
WAIT_S = 10.0


def _options(*arguments):
    parser = argparse.ArgumentParser()
    add_options(parser)
    return parser.parse_args(["--step-ms", "1", *arguments])


def _run(scenario):
    async def main():
        engine = EngineStandin(_options())
        stepping = await curio.spawn(engine.run)
        async with HttpServer(engine.handle) as server:
            await scenario(CallerConnection((server.host, server.port)))
        await stepping.cancel()

    curio.run(main)


async def _complete(connection, content, request_id):
    headers = [("x-request-id", request_id)]
    body = json.dumps(content).encode()
    path = "/v1/chat/completions"
    return await connection.call("POST", path, headers, body, WAIT_S)


def test_streamed_and_whole_answers_are_the_expected_bytes():
    """Guards against answers that a test can't compute from the request alone."""

    async def scenario(connection):
        for stream in (True, False):
            content = {**CONTENT, "stream": stream}
            answer = await _complete(connection, content, f"r-{stream}")
            assert answer.whole
            assert answer.body == expected_answer(content)

    _run(scenario)


def test_an_answer_resumes_from_an_offset():
    """The rest of a known request's answer is repeated byte for byte."""

    async def scenario(connection):
        await _complete(connection, CONTENT, "key/draft-llm/a/7")
        path = "/v1/requests/key/draft-llm/a/7?offset=100"
        answer = await connection.call("GET", path, [], b"", WAIT_S)
        assert answer.whole
        assert answer.body == expected_answer(CONTENT)[100:]
        unknown = await connection.call("GET", "/v1/requests/x", [], b"", WAIT_S)
        assert unknown.status == 404

    _run(scenario)


def test_the_ledger_counts_every_run():
    """Guards against a ledger that hides the second run of a request sent twice."""

    async def scenario(connection):
        await _complete(connection, CONTENT, "r-1")
        await _complete(connection, CONTENT, "r-1")
        answer = await connection.call("GET", "/ledger", [], b"", WAIT_S)
        ledger = json.loads(bytes(answer.body))
        assert ledger["r-1"]["runs"] == ledger["r-1"]["finished"] == 2

    _run(scenario)


def test_a_full_batch_admits_by_priority_and_a_cancelled_request_never_starts():
    """The more urgent request starts first; the cancelled request never runs."""

    async def main():
        ledger = Ledger()
        batcher = Batcher(_options("--batch-capacity", "1"), ledger)
        runs = {
            name: Run(name, {**CONTENT, "max_tokens": 1}, priority, None)
            for name, priority in (("late", 5), ("cancelled", 1), ("urgent", 0))
        }
        for run in runs.values():
            await batcher.add(run)
        await batcher.cancel(runs["cancelled"])
        stepping = await curio.spawn(batcher.run)
        while not runs["late"].finished:
            await runs["late"].changed.wait()
        await stepping.cancel()
        assert list(ledger.as_json()) == ["urgent", "late"]

    curio.run(main)
