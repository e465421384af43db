"""Encoding of orders, replies and reports as messages."""

import math

import numpy as np

from siskinthread.errors import ProtocolError
from siskinthread.experts._expert_map import ExpertMap
from siskinthread.experts._orders import (
    Done,
    Hold,
    OrderNumber,
    Promise,
    RankState,
    Refused,
    Release,
    Stage,
    Switch,
)
from siskinthread.experts._rank_engine import RankReport
from siskinthread.wire import (
    ExpertSlots,
    OrderKind,
    RankOrder,
    RankReply,
    RankStatistics,
)

DONE, REFUSED, NO_ANSWER = "done", "refused", "no_answer"
UNKNOWN_TOKENS = -1

_KINDS = {
    Promise: OrderKind.PROMISE,
    Stage: OrderKind.STAGE,
    Hold: OrderKind.HOLD,
    Switch: OrderKind.SWITCH,
    Release: OrderKind.RELEASE,
}
_CLASSES = {kind: order_class for order_class, kind in _KINDS.items()}


def encode_map(expert_map):
    """Return an `ExpertMap` as an `ExpertSlots` message."""
    return ExpertSlots(
        slots_per_rank=expert_map.slots.shape[1],
        expert_count=expert_map.expert_count,
        experts=expert_map.slots.ravel().tolist(),
    )


def decode_map(message, version):
    """Return the `ExpertMap` of an `ExpertSlots` message.

    Raises
    ------
    ProtocolError
        If the message is not a valid map.
    """
    try:
        slots = np.array(message.experts).reshape(-1, message.slots_per_rank)
        return ExpertMap(slots, message.expert_count, version)
    except Exception as error:
        raise ProtocolError(f"unreadable expert map: {error!r}") from error


def encode_order(order, group, question):
    """Return the `RankOrder` message of an order."""
    expert_map = getattr(order, "expert_map", None)
    return RankOrder(
        question=question,
        group=group,
        kind=_KINDS[type(order)],
        fencing=order.number.fencing,
        sequence=order.number.sequence,
        version=order.version,
        expert_slots=None if expert_map is None else encode_map(expert_map),
    )


def decode_order(message):
    """Return the order of a `RankOrder` message.

    Raises
    ------
    ProtocolError
        If the kind is unknown, a number is missing or the map is invalid.
    """
    order_class = _CLASSES.get(message.kind)
    if order_class is None or None in (message.fencing, message.sequence):
        raise ProtocolError("order of unknown kind or without number")
    number = OrderNumber(message.fencing, message.sequence)
    if order_class is Stage:
        expert_map = decode_map(message.expert_slots, message.version)
        return Stage(number, message.version, expert_map)
    return order_class(number, message.version)


def encode_reply(reply, question):
    """Return the `RankReply` message of a gate's reply; None means no answer."""
    if reply is None:
        return RankReply(question=question, result=NO_ANSWER)
    if isinstance(reply, Refused):
        return RankReply(
            question=question,
            result=REFUSED,
            highest_fencing=reply.highest.fencing,
            highest_sequence=reply.highest.sequence,
        )
    return RankReply(
        question=question,
        result=DONE,
        version=reply.state.version,
        staged_version=reply.state.staged_version,
        held=reply.state.held,
    )


def decode_reply(message):
    """Return `Done`, `Refused` or None."""
    if message.result == REFUSED:
        return Refused(OrderNumber(message.highest_fencing, message.highest_sequence))
    if message.result != DONE:
        return None
    return Done(RankState(message.version, message.staged_version, message.held))


def encode_report(report, question):
    """Return the `RankStatistics` message of a `RankReport`; None means unknown."""
    if report is None:
        return RankStatistics(question=question, expert_tokens=[])
    tokens = np.where(
        np.isnan(report.expert_tokens), UNKNOWN_TOKENS, report.expert_tokens
    )
    known_time = not math.isnan(report.step_time_ms)
    return RankStatistics(
        question=question,
        expert_tokens=tokens.astype(int).tolist(),
        step_time_ms=report.step_time_ms if known_time else None,
        expert_slots=encode_map(report.expert_map),
        version=report.expert_map.version,
    )


def decode_report(message):
    """Return the `RankReport` of a message, or None if it is unknown."""
    if not message.expert_tokens or message.expert_slots is None:
        return None
    tokens = np.array(message.expert_tokens, dtype=float)
    tokens[tokens == UNKNOWN_TOKENS] = np.nan
    step_time_ms = math.nan if message.step_time_ms is None else message.step_time_ms
    expert_map = decode_map(message.expert_slots, message.version)
    return RankReport(tokens, step_time_ms, expert_map)
