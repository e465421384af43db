"""Callers of a run, the balancer that they use, and probes of the configuration."""

import random
import time

import curio

from scripts._caller_http import CallerConnection
from scripts._platform_files import CALLER_HOST
from scripts.soak._records import CallRecord, Probe
from scripts.soak._system import ACCOUNT_KEY, key_of, ROUTE_TIMEOUT_S
from standins.platform_service import ENDING_MARK

DEADLINE_MS = 4000
# Callers wait beyond the route's time-out, so that late answers are recorded.
ANSWER_WAIT_S = ROUTE_TIMEOUT_S + 2.0
KINDS = ("streaming", "streaming", "unsafe", "safe")
PATHS = {"streaming": "/stream/x", "unsafe": "/unsafe/x", "safe": "/safe/x"}
LEAVING_SHARE = 0.05
DISCONNECT_AFTER_S = (0.02, 0.2)
LONGEST_PAUSE_S = 0.25
REQUESTS_PER_CONNECTION = 12
# Time of the first attempt of a request that crashes servers, and the pause between
# attempts, seconds.
FIRST_ATTEMPT_AFTER_S = (0.5, 8.0)
ATTEMPT_PAUSE_S = (0.2, 1.5)
ALL_GATEWAYS_SHARE = 0.2
CHECK_INTERVAL_S = 1.0
MISSES_LIMIT = 2
FIRST_PART = "f1257"
SUBJECTS_COUNT = 8
PROBE_INTERVAL_S = 0.25
PROBE_WAIT_S = 1.5


class Balancer:
    """Tracks which gateways get new connections.

    Parameters
    ----------
    system : SoakSystem
        System whose gateways are checked.
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
        """Check the readiness of each gateway every second until cancelled."""
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
    """Sends requests one after the other, on persistent connections.

    Parameters
    ----------
    balancer : Balancer
        Chooses the gateway of a new connection.
    records : Records
        Gets a `CallRecord` of each request.
    seed : int
        Seed of all random choices.
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
        disconnects = self._random.random() < LEAVING_SHARE
        wait_s = (
            self._random.uniform(*DISCONNECT_AFTER_S) if disconnects else ANSWER_WAIT_S
        )
        request_id = f"soak-{self._records.next_number()}"
        started_s = time.monotonic()
        answer = await self._connection.call(
            "POST",
            PATHS[kind],
            [*_headers(request_id, ACCOUNT_KEY), _shared_prompt_header(request_id)],
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
            left=disconnects and not is_over,
        )
        self._records.calls.append(record)
        if not answer.whole or answer.headers.get("connection") == "close":
            self._left = 0

    async def _close(self):
        if self._connection is not None:
            await self._connection.close()


def _shared_prompt_header(request_id):
    """Return the prefix header of a prompt that shares its subject with others."""
    return _prompt_header(request_id, f"5ab{_number(request_id) % SUBJECTS_COUNT}")


def _prompt_header(request_id, *parts):
    """Return the prefix header of a prompt whose last part is unique."""
    own = f"{_number(request_id):x}"
    listed = ",".join(f"{part}:40" for part in (FIRST_PART, *parts, own))
    return "x-prompt-prefix", listed


def _number(request_id):
    return int(request_id.rpartition("-")[2])


class CrashingCaller:
    """Repeatedly sends requests that crash servers.

    The requests are either identical, or share only a part of their prompts.

    Parameters
    ----------
    balancer : Balancer
        Chooses the gateway of each attempt.
    records : Records
        Gets a `CallRecord` of each attempt.
    seed : int
        Seed of all random choices.
    has_part : bool
        Whether the requests share only a part of their prompts.
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
        """Send until a `JudgedPeriod` has ended; sometimes to all gateways at once."""
        await curio.sleep(self._random.uniform(*FIRST_ATTEMPT_AFTER_S))
        while not period.has_ended(time.monotonic()):
            gateways = self._balancer.in_rotation()
            if self._random.random() > ALL_GATEWAYS_SHARE:
                gateways = [self._random.choice(gateways)]
            async with curio.TaskGroup(wait=all) as group:
                for gateway in gateways:
                    await group.spawn(self._attempt, gateway)
            await curio.sleep(self._random.uniform(*ATTEMPT_PAUSE_S))

    async def _attempt(self, gateway):
        request_id = f"ending-{self._records.next_number()}"
        connection = CallerConnection(gateway.callers, CALLER_HOST)
        started_s = time.monotonic()
        path = PATHS[self._kind]
        headers = _headers(request_id, ACCOUNT_KEY)
        body = self._body
        if self._has_part:
            headers.append(_prompt_header(request_id, self._body.hex()))
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
            crashing_body=self._body,
            has_crashing_part=self._has_part,
        )
        self._records.calls.append(record)


class Prober:
    """Probes a gateway with the keys of the two newest configuration versions.

    Parameters
    ----------
    gateway : GatewayNode
        Gateway, which is called directly and not through its relay.
    records : Records
        Holds the published versions, and gets a `Probe` of each answer.
    """

    __slots__ = ("_gateway", "_records")

    def __init__(self, gateway, records):
        self._gateway = gateway
        self._records = records

    async def run(self, period):
        """Probe until a `JudgedPeriod` has ended."""
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
