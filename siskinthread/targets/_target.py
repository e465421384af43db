"""The kinds of target and their common parts."""

import json

import curio

from siskinthread.errors import TargetError
from siskinthread.targets._pool import ConnectionPool

CONTROL_BODY_LIMIT_BYTES = 64 * 1024


# Largest number that the messages between agents and entries hold.
COUNT_LIMIT = 2**31 - 1
# Errors that decoding a malformed load report raises.
MALFORMED_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class TargetLoad:
    """A target's own load report.

    Parameters
    ----------
    running, waiting, capacity : int
        Numbers of running and waiting requests, and of requests that can run at once.
    age_ms : int
        Age of the report when the target answered.
    """

    __slots__ = ("age_ms", "capacity", "running", "waiting")

    def __init__(self, running, waiting, capacity, age_ms):
        self.running = running
        self.waiting = waiting
        self.capacity = capacity
        self.age_ms = age_ms


class Target:
    """A target on the agent's host.

    Parameters
    ----------
    settings : TargetSettings
        Address and limits.
    clock : Clock
        Clock of the connections' ages.
    """

    __slots__ = ("clock", "pool", "settings")

    def __init__(self, settings, clock):
        self.settings = settings
        self.clock = clock
        self.pool = ConnectionPool(settings, clock)

    def host_header(self):
        """Return the ``Host`` header of requests to this target."""
        return ("host", str(self.settings.address))

    async def fetch_load(self):
        """Return the target's `TargetLoad`.

        Raises
        ------
        TargetError, ConnectionLostError
            If no valid answer arrived in time.
        """
        status, body = await self.control("GET", "/load")
        if status != 200:
            raise TargetError(f"load report has status {status}")
        try:
            report = json.loads(body)
            return TargetLoad(
                _read_count(report["running"]),
                _read_count(report["waiting"]),
                _read_count(report["capacity"]),
                _read_count(report.get("age_ms", 0)),
            )
        except MALFORMED_ERRORS as error:
            raise TargetError(f"malformed load report: {error!r}") from error

    async def control(self, method, path):
        """Send a short request that may be repeated.

        Returns
        -------
        tuple
            Status and body.

        Raises
        ------
        TargetError, ConnectionLostError
            If no complete answer arrived in time.
        """
        try:
            return await curio.timeout_after(
                self.settings.control_wait_s, self._control, method, path
            )
        except curio.TaskTimeout as error:
            raise TargetError(f"no answer to {method} {path} in time") from error

    async def _control(self, method, path):
        connection = await self.pool.acquire(idempotent=True)
        is_complete = False
        try:
            headers = [self.host_header(), ("content-length", "0")]
            await connection.send_request(method, path, headers, b"")
            head = await connection.receive_head()
            body = await _receive_body(connection)
            is_complete = True
        finally:
            if not is_complete:
                await self.pool.discard(connection)
        await self.pool.release(connection)
        return head.status, body


async def _receive_body(connection):
    body = b""
    while (data := await connection.receive_data()) is not None:
        body += data
        if len(body) > CONTROL_BODY_LIMIT_BYTES:
            raise TargetError("control response exceeds the size limit")
    return body


class EngineTarget(Target):
    """A model engine: knows requests by id, can resume and cancel them."""

    __slots__ = ()


class PlainTarget(Target):
    """A plain HTTP service: can't be queried about a request."""

    __slots__ = ()


def build_target(settings, clock):
    """Return the target of the configured kind."""
    kinds = {"engine": EngineTarget, "plain": PlainTarget}
    return kinds[settings.kind](settings, clock)


def _read_count(value):
    """Return an integer from 0 on that messages can hold."""
    count = int(value)
    if not 0 <= count <= COUNT_LIMIT:
        raise ValueError(f"{value!r:.80} is out of range")
    return count
