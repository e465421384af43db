"""Phases of a connection, and why it ended."""

import enum


class Phase(enum.Enum):
    """Phase of a connection, by what it waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    WRITE = "write"
    LINGER = "linger"


class Ending(enum.Enum):
    """Why a connection was ended early."""

    CALLER_LEFT = "caller_left"
    IDLE = "idle"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    SLOW_READER = "slow_reader"
    LINGERED = "lingered"
    # Ended because all connections, or all slow readers, exceed their limit.
    MEMORY = "memory"


# Phases in which the connection waits for its caller.
WAITING_PHASES = frozenset((Phase.IDLE, Phase.HEAD, Phase.BODY, Phase.LINGER))
ENDING_BY_PHASE = {
    Phase.IDLE: Ending.IDLE,
    Phase.HEAD: Ending.SLOW_HEAD,
    Phase.BODY: Ending.SLOW_BODY,
    Phase.LINGER: Ending.LINGERED,
}
