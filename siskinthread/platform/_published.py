"""The operators' document, decoded to a route table.

Malformed values grant nothing: requests need a key if ``tenants`` has any value, and
only readable keys of named accounts are accepted.
"""

import math

from siskinthread.errors import DocumentError
from siskinthread.gateway import (
    Account,
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    Service,
    ServiceShare,
)
from siskinthread.group_maps import ExpertLayout, PassModel
from siskinthread.load_control import TokenModel
from siskinthread.observability import part_logger

MILLISECONDS_PER_SECOND = 1000
BITS_PER_BYTE = 8
STREAMING = "streaming"
SAFE = "safe"
ACCOUNTS = "tenants"

_logger = part_logger("platform")


def read_route_table(key, document):
    """Return the `RouteTable` of a published document.

    Parameters
    ----------
    key : str
        Key of the document, for messages.
    document : dict
        The decoded JSON.

    Raises
    ------
    DocumentError
        If a required field is missing or malformed.
    """
    try:
        limits_s = _pass_limits_s(document["routes"])
        return RouteTable(
            int(document["version"]),
            [_read_route(route) for route in document["routes"]],
            [_read_service(service, limits_s) for service in document["services"]],
            _read_accounts(document),
            _read_limits(document.get("limits")),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DocumentError([f"{key}: {error!r}"]) from error


def _read_route(route):
    return Route(
        name=route["name"],
        host=route["host"].lower(),
        path_prefix=route["path_prefix"],
        kind=_read_kind(route),
        shares=_read_shares(route),
        attempt_limit=int(route.get("attempts", 1)),
        wait_limit_s=route["timeout_ms"] / MILLISECONDS_PER_SECOND,
        priority=int(route.get("priority", 0)),
        is_public=route.get("public") is True,
        objective_s=_seconds(route.get("target_latency_ms")),
        pause_limit_s=_seconds(route.get("target_gap_ms")),
    )


def _seconds(time_ms):
    return None if time_ms is None else time_ms / MILLISECONDS_PER_SECOND


def _read_kind(route):
    kind = route["kind"]
    if kind == STREAMING:
        if route.get("resumable") is True:
            return RequestKind.STREAM_RESUMABLE
        return RequestKind.STREAM_ONCE
    return RequestKind.IDEMPOTENT if kind == SAFE else RequestKind.ONCE


def _read_shares(route):
    if "traffic_split" in route:
        shares = [
            ServiceShare(share["service"], float(share["weight"]))
            for share in route["traffic_split"]
        ]
        positive = [share for share in shares if share.weight > 0]
        if positive:
            return positive
    return [ServiceShare(route["service"], 1.0)]


def _pass_limits_s(routes):
    """Return the shortest permitted pause of a stream by service, seconds."""
    limits_s = {}
    for route in routes:
        if "target_gap_ms" not in route:
            continue
        gap_s = route["target_gap_ms"] / MILLISECONDS_PER_SECOND
        for share in _read_shares(route):
            name = share.service_name
            limits_s[name] = min(gap_s, limits_s.get(name, math.inf))
    return limits_s


def _read_service(service, limits_s):
    pass_limit_s = limits_s.get(service["name"], math.inf)
    engine = service.get("engine")
    experts = None if engine is None else _read_experts(engine, pass_limit_s)
    tokens = None if engine is None else _read_tokens(engine)
    return Service(
        service["name"],
        experts,
        tokens,
        _non_negative(service.get("cold_start_s")),
        _non_negative(service.get("cold_per_s")),
    )


def _non_negative(value):
    """Return a finite number from 0 on; 0 if there is none."""
    if value is None:
        return 0.0
    number = math.nan if isinstance(value, bool | str) else float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"{value!r} is not a finite number from 0 on")
    return number


def _read_tokens(engine):
    """Return the `TokenModel` of an engine; None if its memory is not stated."""
    usual = engine.get("usual") or {}
    values = [
        engine.get("kv_capacity"),
        # An event carries the tokens of one pass for a stream, one for each step.
        engine.get("stride", 1),
        usual.get("prompt"),
        usual.get("answer"),
    ]
    if not all(value is not None and int(value) > 0 for value in values):
        return None
    return TokenModel(*map(int, values))


def _read_experts(engine, pass_limit_s):
    if "experts" not in engine:
        return None
    return ExpertLayout(
        int(engine["sets"]),
        int(engine["experts"]),
        int(engine["places"]),
        int(engine["spare"]),
        PassModel(
            float(engine["expert_share"]),
            int(engine["stride"]) * engine["step_ms"] / MILLISECONDS_PER_SECOND,
            int(engine["stride"]) * engine["per_seq_ms"] / MILLISECONDS_PER_SECOND,
        ),
        engine["expert_mb"] * BITS_PER_BYTE / engine["link_mbps"],
        engine["report_lag_ms"] / MILLISECONDS_PER_SECOND,
        pass_limit_s,
    )


def _read_accounts(document):
    """Return each `Account` by API key; None if requests need no key."""
    if ACCOUNTS not in document:
        return None
    tenants = document[ACCOUNTS]
    accounts = {}
    ignored_count = 0
    for tenant in tenants if isinstance(tenants, list) else [tenants]:
        account, keys = _read_account(tenant)
        if account is None:
            ignored_count += 1
            continue
        readable = [key for key in keys if isinstance(key, str) and key]
        ignored_count += len(keys) - len(readable)
        accounts |= dict.fromkeys(readable, account)
    if ignored_count:
        _logger.event(
            "unreadable client accounts or keys are ignored",
            version=document["version"],
            count=ignored_count,
        )
    return accounts


def _read_account(tenant):
    """Return an `Account` and the list of its keys; None and no keys if unreadable."""
    if not isinstance(tenant, dict):
        return None, []
    name, keys = tenant.get("name"), tenant.get("api_keys")
    if not (isinstance(name, str) and name and isinstance(keys, list)):
        return None, []
    priority = tenant.get("priority")
    return Account(name, priority if type(priority) is int else None), keys


def _read_limits(limits):
    if limits is None:
        return None
    return CallerLimits(
        int(limits["max_header_bytes"]),
        int(limits["max_body_bytes"]),
        limits["header_timeout_ms"] / MILLISECONDS_PER_SECOND,
        limits["idle_timeout_ms"] / MILLISECONDS_PER_SECOND,
    )
