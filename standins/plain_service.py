"""Stand-in of a plain service.

Run it with ``python -m standins.plain_service --port 0``.  Any path answers JSON with a
serial number; ``GET /ledger`` answers which requests ran.  ``POST /faults`` accepts
``delay_ms`` and ``die_before_answer``: the number of next requests that run and whose
connection is then closed without an answer.
"""

import argparse
import json

import curio

from standins._http_server import add_server_options, CloseConnection, run_standin
from standins._ledger import Ledger

MILLISECONDS_PER_SECOND = 1000


class PlainServiceStandin:
    """Service that answers after a delay and counts its runs.

    Parameters
    ----------
    options : argparse.Namespace
        With ``capacity`` and ``delay_ms``.
    """

    __slots__ = (
        "_ledger",
        "_serial_number",
        "_options",
        "_running",
        "delay_ms",
        "die_before_answer",
    )

    def __init__(self, options):
        self._options = options
        self._ledger = Ledger()
        self._serial_number = 0
        self._running = 0
        self.delay_ms = options.delay_ms
        self.die_before_answer = 0

    async def handle(self, request, exchange):
        """Answer one request."""
        if request.path == "/ledger":
            await exchange.answer_json(200, self._ledger.as_json())
        elif request.path == "/load":
            await exchange.answer_json(200, self._load_report())
        elif request.path == "/faults":
            faults = request.json()
            self.delay_ms = faults.get("delay_ms", self.delay_ms)
            self.die_before_answer = faults.get(
                "die_before_answer", self.die_before_answer
            )
            await exchange.answer_json(200, {})
        else:
            await self._serve(request, exchange)

    async def _serve(self, request, exchange):
        request_id = request.headers.get(
            "x-request-id", f"unnamed-{self._serial_number}"
        )
        self._ledger.count_run(request_id, request.headers.get("idempotency-key"))
        self._serial_number += 1
        number = self._serial_number
        self._running += 1
        try:
            await curio.sleep(self.delay_ms / MILLISECONDS_PER_SECOND)
        finally:
            self._running -= 1
        self._ledger.count_finished(request_id)
        if self.die_before_answer > 0:
            self.die_before_answer -= 1
            raise CloseConnection
        answer = answer_body(number, request.method, request.path, request.body)
        await exchange.answer(200, answer)

    def _load_report(self):
        return {
            "running": self._running,
            "waiting": 0,
            "capacity": self._options.capacity,
            "age_ms": 0,
        }


def answer_body(number, method, path, body):
    """Return the body of an answer, which a caller compares byte for byte.

    Parameters
    ----------
    number : int
        Number of requests that the service has run, including this request.
    method, path : str
        Method and path of the request.
    body : bytes
        Body of the request.
    """
    text = body.decode("utf-8", "replace")
    answer = {"number": number, "method": method, "path": path, "body": text}
    return json.dumps(answer).encode()


def add_options(parser):
    """Add the service's own options to an argument parser."""
    parser.add_argument(
        "--capacity", type=int, default=100, help="requests that it takes at once"
    )
    parser.add_argument(
        "--delay-ms", type=float, default=0.0, help="time that a request takes"
    )


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="stand-in of a plain service")
    add_server_options(parser)
    add_options(parser)
    options = parser.parse_args()
    run_standin(PlainServiceStandin(options).handle, options)


if __name__ == "__main__":
    main()
