"""HTTP client of the engine of one rank.

The engine's interface:

- ``GET /rank?fencing=F&sequence=S`` returns the rank's state ``{"version",
  "staged_version", "held"}``; an engine that checks order numbers stores the number.
- ``POST /rank/orders`` ``{"kind", "fencing", "sequence", "version", "slots"}`` executes
  an order and returns the state; an engine that checks order numbers responds with 409
  to an order with an outdated number.
- ``GET /rank/statistics`` returns ``{"expert_tokens", "step_time_ms", "version",
  "slots"}`` with a delay of one interval.
"""

import curio
import numpy as np
import pyjson5

from siskinthread.errors import PlatformUnavailableError, TargetError
from siskinthread.experts._expert_map import ExpertMap
from siskinthread.experts._orders import RankState
from siskinthread.shared_services import HttpClient
from siskinthread.timing import Deadline


class RankReport:
    """Statistics of the last interval of a rank.

    Parameters
    ----------
    expert_tokens : numpy.ndarray
        Shape (experts,); tokens of each expert on this rank, NaN for experts that the
        rank does not hold.
    step_time_ms : float
        Mean step time; NaN if unknown.
    expert_map : ExpertMap
        The map in force.
    """

    __slots__ = ("expert_map", "expert_tokens", "step_time_ms")

    def __init__(self, expert_tokens, step_time_ms, expert_map):
        self.expert_tokens = expert_tokens
        self.step_time_ms = step_time_ms
        self.expert_map = expert_map


class RankEngine:
    """Client of the engine behind a `RankGate`.

    Parameters
    ----------
    settings : RankSettings
        Address, time limits, and whether the engine checks order numbers.
    clock : Clock
        Clock for the time limit of pending orders.
    """

    __slots__ = ("_client", "_clock", "_settings", "_pending_deadline")

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._client = HttpClient("rank", settings.address, settings.answer_wait_s)
        # An order of an earlier agent on this host may still be pending.
        self._pending_deadline = Deadline.after(clock, settings.order_limit_s)

    async def state(self, number):
        """Return the rank's state."""
        query = f"fencing={number.fencing}&sequence={number.sequence}"
        return await self._call(lambda: self._client.get(f"/rank?{query}"))

    async def stage(self, number, version, expert_map):
        """Load the weights of a map in addition to those in force."""
        slots = expert_map.slots.tolist()
        return await self._order("stage", number, version=version, slots=slots)

    async def hold(self, number):
        """Stop at the next step boundary."""
        return await self._order("hold", number)

    async def switch(self, number, version):
        """Put the staged map in force."""
        return await self._order("switch", number, version=version)

    async def release(self, number):
        """Continue stepping."""
        return await self._order("release", number)

    async def wait_for_pending_orders(self):
        """Wait until no unanswered order can take effect any more.

        Returns at once if the engine checks order numbers.
        """
        if not self._settings.checks_fencing:
            await curio.sleep(self._pending_deadline.left_s())

    async def report(self):
        """Return the `RankReport` of the last interval.

        Raises
        ------
        TargetError
            If the engine gave no valid answer.
        """
        try:
            body = await self._client.get("/rank/statistics")
            return _read_report(pyjson5.decode_utf8(body))
        except (PlatformUnavailableError, *_DECODING_ERRORS) as error:
            raise TargetError(f"rank did not return statistics: {error!r}") from error

    async def _order(self, kind, number, **values):
        order = {"kind": kind, "fencing": number.fencing, "sequence": number.sequence}
        payload = pyjson5.encode({**order, **values}).encode()
        self._pending_deadline = Deadline.after(
            self._clock, self._settings.answer_wait_s + self._settings.order_limit_s
        )
        return await self._call(lambda: self._client.post("/rank/orders", payload))

    async def _call(self, request):
        try:
            return _read_state(pyjson5.decode_utf8(await request()))
        except (PlatformUnavailableError, *_DECODING_ERRORS) as error:
            raise TargetError(f"rank did not return its state: {error!r}") from error


_DECODING_ERRORS = (pyjson5.Json5Exception, KeyError, TypeError, ValueError)


def _read_state(value):
    return RankState(value["version"], value["staged_version"], bool(value["held"]))


def _read_report(value):
    tokens = np.array(
        [np.nan if tokens is None else tokens for tokens in value["expert_tokens"]],
        dtype=float,
    )
    expert_map = ExpertMap(value["slots"], len(tokens), value["version"])
    step_time_ms = value["step_time_ms"]
    return RankReport(
        tokens, np.nan if step_time_ms is None else step_time_ms, expert_map
    )
