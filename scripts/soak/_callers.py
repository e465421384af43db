"""Callers of a run, the balancer in front of them, and probes of the configuration."""

import random
import time

import curio

from scripts._caller_http import CallerConnection
from scripts._platform_files import CALLER_HOST
from scripts.soak._records import CallRecord, Probe
from scripts.soak._system import ACCOUNT_KEY, key_of, ROUTE_TIMEOUT_S
from standins.platform_service import ENDING_MARK

DEADLINE_MS = 4000
# Callers listen on for a while, so that an answer that comes too late is seen.
ANSWER_WAIT_S = ROUTE_TIMEOUT_S + 2.0
KINDS = ("streaming", "streaming", "unsafe", "safe")
PATHS = {"streaming": "/stream/x", "unsafe": "/unsafe/x", "safe": "/safe/x"}
LEAVING_SHARE = 0.05
LEAVES_AFTER_S = (0.02, 0.2)
LONGEST_PAUSE_S = 0.25
REQUESTS_PER_CONNECTION = 12
# The first try of a request under which servers end, and the pause before the next.
FIRST_TRY_AFTER_S = (0.5, 8.0)
TRY_PAUSE_S = (0.2, 1.5)
AT_ONCE_SHARE = 0.2
CHECK_INTERVAL_S = 1.0
MISSES_LIMIT = 2
FIRST_PART = "f1257"
SUBJECTS_COUNT = 8
PROBE_INTERVAL_S = 0.25
PROBE_WAIT_S = 1.5


class Balancer:
    """Knows which gateways get new connections.

    Parameters
    ----------
    system : SoakSystem
        The gateways.
    """

    __slots__ = ("_misses", "_system")

    def __init__(self, system):
        self._system = system
        self._misses = dict.fromkeys((one.name for one in system.gateways), 0)

    def in_rotation(self):
        """Return the gateways that get new connections; all if none is ready."""
        gateways = self._system.gateways
        ready = [one for one in gateways if self._misses[one.name] < MISSES_LIMIT]
        return ready or gateways

    async def keep_checking(self):
        """Ask each gateway once a second until cancelled."""
        while True:
            async with curio.TaskGroup(wait=all) as group:
                for gateway in self._system.gateways:
                    await group.spawn(self._check, gateway)
            await curio.sleep(CHECK_INTERVAL_S)

    async def _check(self, gateway):
        if await self._system.is_ready(gateway):
            self._misses[gateway.name] = 0
        else:
            self._misses[gateway.name] += 1


class Caller:
    """Sends one request after the other, on connections that it keeps.

    Parameters
    ----------
    balancer : Balancer
        Chooses the gateway of a new connection.
    records : Records
        Where the requests are noted.
    seed : int
        For everything that varies.
    """

    __slots__ = ("_balancer", "_connection", "_gateway", "_left", "_random", "_records")

    def __init__(self, balancer, records, seed):
        self._balancer = balancer
        self._records = records
        self._random = random.Random(seed)
        self._connection = None
        self._gateway = None
        self._left = 0

    async def run(self, period):
        """Send requests until a `JudgedPeriod` has ended."""
        while not period.has_ended(time.monotonic()):
            await curio.sleep(self._random.uniform(0, LONGEST_PAUSE_S))
            await self._send()
        await self._close()

    async def _send(self):
        if self._left <= 0:
            await self._close()
            self._gateway = self._random.choice(self._balancer.in_rotation())
            self._connection = CallerConnection(self._gateway.callers, CALLER_HOST)
            self._left = REQUESTS_PER_CONNECTION
        self._left -= 1
        kind = self._random.choice(KINDS)
        leaves = self._random.random() < LEAVING_SHARE
        wait_s = self._random.uniform(*LEAVES_AFTER_S) if leaves else ANSWER_WAIT_S
        request_id = f"soak-{self._records.next_number()}"
        started_s = time.monotonic()
        answer = await self._connection.call(
            "POST",
            PATHS[kind],
            [*_headers(request_id, ACCOUNT_KEY), _sound_prompt(request_id)],
            b"report",
            wait_s,
        )
        ended_s = time.monotonic()
        is_over = answer.whole or ended_s - started_s < wait_s
        record = CallRecord(
            request_id,
            kind,
            PATHS[kind],
            self._gateway.name,
            answer,
            started_s,
            ended_s,
            left=leaves and not is_over,
        )
        self._records.calls.append(record)
        if not answer.whole or answer.headers.get("connection") == "close":
            self._left = 0

    async def _close(self):
        if self._connection is not None:
            await self._connection.close()


def _sound_prompt(request_id):
    """Return the header of a prompt about one of a few subjects."""
    return _stated_prompt(request_id, f"5ab{_number(request_id) % SUBJECTS_COUNT}")


def _stated_prompt(request_id, *parts):
    """Return the header of a prompt whose last part no other request has."""
    own = f"{_number(request_id):x}"
    listed = ",".join(f"{part}:40" for part in (FIRST_PART, *parts, own))
    return "x-prompt-prefix", listed


def _number(request_id):
    return int(request_id.rpartition("-")[2])


class EndingCaller:
    """Sends requests under which servers end, again and again.

    They are either alike, or have nothing in common but a part of their prompts.

    Parameters
    ----------
    balancer : Balancer
        Chooses the gateway of each try.
    records : Records
        Where the tries are noted.
    seed : int
        For everything that varies.
    has_part : bool
        Whether they share a part only.
    """

    __slots__ = ("_balancer", "_body", "_has_part", "_kind", "_random", "_records")

    def __init__(self, balancer, records, seed, has_part):
        self._balancer = balancer
        self._records = records
        self._random = random.Random(seed)
        self._has_part = has_part
        self._kind = self._random.choice(KINDS)
        self._body = ENDING_MARK + f" of {seed}".encode()

    async def run(self, period):
        """Try until a `JudgedPeriod` has ended; at times at all gateways at once."""
        await curio.sleep(self._random.uniform(*FIRST_TRY_AFTER_S))
        while not period.has_ended(time.monotonic()):
            gateways = self._balancer.in_rotation()
            if self._random.random() > AT_ONCE_SHARE:
                gateways = [self._random.choice(gateways)]
            async with curio.TaskGroup(wait=all) as group:
                for gateway in gateways:
                    await group.spawn(self._try, gateway)
            await curio.sleep(self._random.uniform(*TRY_PAUSE_S))

    async def _try(self, gateway):
        request_id = f"ending-{self._records.next_number()}"
        connection = CallerConnection(gateway.callers, CALLER_HOST)
        started_s = time.monotonic()
        path = PATHS[self._kind]
        headers = _headers(request_id, ACCOUNT_KEY)
        body = self._body
        if self._has_part:
            headers.append(_stated_prompt(request_id, self._body.hex()))
            body += f", {request_id}".encode()
        answer = await connection.call("POST", path, headers, body, ANSWER_WAIT_S)
        await connection.close()
        record = CallRecord(
            request_id,
            self._kind,
            path,
            gateway.name,
            answer,
            started_s,
            time.monotonic(),
            ending_body=self._body,
            has_ending_part=self._has_part,
        )
        self._records.calls.append(record)


class Prober:
    """Asks a gateway with the keys of the newest two versions.

    Parameters
    ----------
    gateway : GatewayNode
        The gateway, asked past its relay.
    records : Records
        Which versions there are, and where answers are noted.
    """

    __slots__ = ("_gateway", "_records")

    def __init__(self, gateway, records):
        self._gateway = gateway
        self._records = records

    async def run(self, period):
        """Ask until a `JudgedPeriod` has ended."""
        while not period.has_ended(time.monotonic()):
            newest = self._records.publications[-1].version
            for version in (newest, newest - 1):
                await self._ask(version)
            await curio.sleep(PROBE_INTERVAL_S)

    async def _ask(self, version):
        gateway = self._gateway
        boot = gateway.boot
        request_id = f"probe-{self._records.next_number()}"
        connection = CallerConnection((gateway.ip, gateway.front), CALLER_HOST)
        headers = _headers(request_id, key_of(version))
        sent_s = time.monotonic()
        answer = await connection.call("GET", "/safe/x", headers, b"", PROBE_WAIT_S)
        await connection.close()
        probe = Probe(
            gateway.name, boot, version, answer.status, sent_s, time.monotonic()
        )
        self._records.probes.append(probe)


def _headers(request_id, key):
    return [
        ("x-request-id", request_id),
        ("x-deadline-ms", str(DEADLINE_MS)),
        ("authorization", f"Token {key}"),
    ]
