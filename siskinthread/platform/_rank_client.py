"""Client of a model server as a rank of a group: reports, counts and orders."""

import json
from functools import lru_cache, singledispatch

from siskinthread.errors import PlatformUnavailableError, TargetError
from siskinthread.group_maps import (
    Arm,
    ArmedMap,
    Disarm,
    HeldExperts,
    Hold,
    OrderResult,
    Prepare,
    RankCounts,
    RankReport,
    Release,
)
from siskinthread.observability import part_logger
from siskinthread.outcomes import Head
from siskinthread.platform._server_entry import read_started_at
from siskinthread.platform._wire import EXPECTED_INSTANCE, PlatformWire
from siskinthread.settings import Address
from siskinthread.shared_services import HttpClient

REPORT_PATH = "/siskinthread/report"
COUNTS_PATH = "/siskinthread/picked"
LISTS_PATH = "/siskinthread/picked?lists=1"
ORDER_PATH = "/siskinthread/order"
_logger = part_logger("platform")

JSON_HEADER = ("content-type", "application/json")
ACCEPTED_STATUSES = (200, 202)
STATUS_OK = 200
# 400 unknown order, 409 order does not fit the state, 412 outdated order, 421 another
# server.
REFUSED_STATUSES = (400, 409, 412, 421)
# Counts of 1 million pairs of set and expert have this size.
ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
# Largest integer of which a float holds all smaller ones.
COUNT_LIMIT = 2**53
# Far beyond the slowness of any rank that still takes part in passes.
SLOWNESS_LIMIT = 1e6
# Cached encoded orders, one for each group under control.
ORDER_CACHE_SIZE = 4


class RankClient:
    """Client of one model server.

    Parameters
    ----------
    entry : siskinthread.gateway.TargetEntry
        The server.
    layout : siskinthread.group_maps.ExpertLayout
        Shape of the maps.
    call_count : prometheus_client.Counter
        Counts calls by ``call``; each call has a price.
    clock : siskinthread.timing.Clock
        Clock of the answers.
    note_answer : callable
        Called with the server, the time when a call was sent (monotonic seconds) and
        the `AnswerFacts` of its answer.
    note_report : callable
        Called with each `RankReport`, and the time to which it applies, monotonic
        seconds.
    """

    __slots__ = (
        "_call_count",
        "_clock",
        "_entry",
        "_expected_instance",
        "_http",
        "_layout",
        "_note_answer",
        "_note_report",
    )

    def __init__(self, entry, layout, call_count, clock, note_answer, note_report):
        self._note_report = note_report
        self._entry = entry
        self._clock = clock
        self._note_answer = note_answer
        address = Address(entry.host, entry.port)
        self._http = HttpClient("rank", address, None, ANSWER_LIMIT_BYTES)
        # The address of a server that is gone may have been reassigned to a rank of
        # another group, which must not accept the order.
        self._expected_instance = (EXPECTED_INSTANCE, entry.listed_id)
        self._layout = layout
        self._call_count = call_count

    async def report(self, wait_s):
        """Return the `RankReport`.

        Raises
        ------
        TargetError
            If no readable answer came in time, or the server is not a rank.
        """
        asked_at_s = self._clock.monotonic_s()
        report = self._read(_read_report, await self._get(REPORT_PATH, wait_s))
        self._note_report(report, asked_at_s - self._layout.report_lag_s)
        return report

    async def counts(self, wait_s):
        """Return the `RankCounts`; raises like `report`."""
        document = await self._get(COUNTS_PATH, wait_s)
        return self._read(_read_counts, document)

    async def held_experts(self, wait_s):
        """Return the `HeldExperts`; raises like `report`."""
        return self._read(_read_held_experts, await self._get(LISTS_PATH, wait_s))

    async def order(self, order, wait_s):
        """Send an order once, and return its `OrderResult`."""
        body = _encode_order(order)
        self._call_count.labels("order").inc()
        try:
            answer = await self._call("POST", ORDER_PATH, body, [JSON_HEADER], wait_s)
        except PlatformUnavailableError:
            return OrderResult.UNKNOWN
        if answer.status in ACCEPTED_STATUSES:
            return OrderResult.TAKEN
        if answer.status in REFUSED_STATUSES:
            _logger.event(
                "order refused",
                target=self._expected_instance[1],
                order=type(order).__name__,
                status=answer.status,
            )
            return OrderResult.REFUSED
        return OrderResult.UNKNOWN

    async def _get(self, path, wait_s):
        self._call_count.labels(path.partition("?")[0].rpartition("/")[2]).inc()
        try:
            answer = await self._call("GET", path, b"", [], wait_s)
        except PlatformUnavailableError as error:
            raise TargetError(str(error)) from error
        if answer.status != STATUS_OK:
            raise TargetError(f"{path} was answered with status {answer.status}")
        try:
            return json.loads(answer.body)
        except (ValueError, RecursionError) as error:
            raise TargetError(f"{path}: answer is not JSON") from error

    async def _call(self, method, path, body, headers, wait_s):
        sent_at_s = self._clock.monotonic_s()
        answer = await self._http.call(
            method, path, body, [*headers, self._expected_instance], wait_s
        )
        facts = PlatformWire().read_answer(
            Head(answer.status, _decode_headers(answer.headers))
        )
        if not facts.is_other_instance:
            self._note_answer(self._entry, sent_at_s, facts)
        return answer

    def _read(self, read, document):
        try:
            return read(document, self._layout)
        except (
            KeyError,
            TypeError,
            ValueError,
            IndexError,
            AttributeError,
            OverflowError,
        ) as error:
            raise TargetError(f"unreadable answer: {error!r}") from error


def _decode_headers(headers):
    return [(name.decode("ascii"), value.decode("latin-1")) for name, value in headers]


def _read_report(document, layout):
    group = document["group"]
    prepared = document.get("prepared")
    held = document.get("held")
    return RankReport(
        group_name=_read_name(group["name"]),
        epoch=_read_number(group["epoch"]),
        rank=_read_count(group["rank"]),
        size=_read_count(document["size"]),
        is_open=group["state"] == "open",
        # "step" counts passes of the group, not the token steps within a pass.
        pass_number=_read_number(document["step"]),
        map_version=_read_count(document["map"]),
        prepared_version=None if prepared is None else _read_count(prepared),
        armed=_read_armed(document.get("armed")),
        held_pass=None if held is None else _read_number(held),
        running=_read_count(document.get("running", 0)),
        # "pace" is the time for a unit of work: a slow rank has a high value.
        slowness=_read_slowness(document.get("pace", 1.0)),
        started_unix_ms=read_started_at(document),
    )


def _read_armed(armed):
    if armed is None:
        return None
    if not isinstance(armed, dict):
        return ArmedMap(_read_count(armed), None)
    pass_number = armed.get("step")
    if pass_number is not None:
        pass_number = _read_number(pass_number)
    return ArmedMap(_read_count(armed["version"]), pass_number)


def _read_counts(document, layout):
    counts = document["counts"]
    if len(counts) != layout.set_count * layout.expert_count:
        raise ValueError(f"wrong number of counts: {len(counts)}")
    _check_counts(counts, COUNT_LIMIT)
    # The counts are a flat list, ordered by set.
    by_set = [
        counts[start : start + layout.expert_count]
        for start in range(0, len(counts), layout.expert_count)
    ]
    return RankCounts(
        _read_number(document["epoch"]),
        _read_number(document["step"]),
        by_set,
        read_started_at(document),
    )


def _read_held_experts(document, layout):
    held = document["map"]
    experts_by_set = held["experts"]
    if not isinstance(experts_by_set, list) or len(experts_by_set) != layout.set_count:
        raise ValueError("wrong number of sets")
    for experts in experts_by_set:
        _check_counts(experts, layout.expert_count - 1)
    return HeldExperts(
        _read_number(document["epoch"]),
        _read_count(held["version"]),
        [tuple(experts) for experts in experts_by_set],
    )


def _read_name(value):
    """Return a text that can be sent on."""
    if not (isinstance(value, str) and value and value.isprintable()):
        raise ValueError(f"{value!a:.80} is no name")
    return value


def _read_number(value):
    """Return an integer that a float can hold; booleans are refused."""
    if type(value) is not int or not -COUNT_LIMIT <= value <= COUNT_LIMIT:
        raise ValueError("a value is no integer in the permitted range")
    return value


def _read_count(value):
    """Return an integer from 0 on."""
    if _read_number(value) < 0:
        raise ValueError(f"{value} is negative")
    return value


def _read_slowness(value):
    is_number = type(value) in (int, float)
    if not (is_number and 1 / SLOWNESS_LIMIT <= value <= SLOWNESS_LIMIT):
        raise ValueError("the pace of a rank is no positive number within its limit")
    return float(value)


def _check_counts(values, limit):
    """Raise an error unless a list holds only integers from 0 to a limit."""
    # Without a loop in Python, as there may be a million of them.
    if not isinstance(values, list) or not set(map(type, values)) <= {int}:
        raise ValueError("a value is no list of integers")
    if values and not 0 <= min(values) <= max(values) <= limit:
        raise ValueError("an integer of a list is beyond its range")


@lru_cache(maxsize=ORDER_CACHE_SIZE)
def _encode_order(order):
    """Return the encoded body of an order; cached, as all ranks get the same body.

    Encoding a map of 96 ranks anew for each of them would take a quarter of a second of
    an entry host's processor.
    """
    return json.dumps(_order_document(order), separators=(",", ":")).encode()


@singledispatch
def _order_document(order):
    """Return the fields of an order."""
    raise TypeError(f"not an order: {order!r}")


@_order_document.register
def _(order: Prepare):
    holdings = order.group_map.holdings
    return {
        "operation": "prepare",
        "epoch": order.epoch,
        "version": order.group_map.version,
        "map": [[list(experts) for experts in ranks] for ranks in holdings],
    }


@_order_document.register
def _(order: Arm):
    return {
        "operation": "arm",
        "epoch": order.epoch,
        "version": order.version,
        "step": order.pass_number,
    }


@_order_document.register
def _(order: Disarm):
    return {"operation": "disarm", "epoch": order.epoch, "version": order.version}


@_order_document.register
def _(order: Hold):
    return {"operation": "hold", "epoch": order.epoch, "step": order.pass_number}


@_order_document.register
def _(order: Release):
    return {"operation": "go", "epoch": order.epoch, "step": order.pass_number}
