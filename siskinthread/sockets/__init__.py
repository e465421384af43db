"""Opening, reading and resetting of TCP connections, for all parts that use sockets.

Interface: ``await connect(sock, address, wait_s)`` connects with a timeout; ``await
reset(sock)`` resets a connection whose exchange was abandoned; `AnswerReceiver` limits
the bytes of an answer and lets other tasks run while it is received; `AnswerParser`
refuses malformed heads of answers.
"""

from siskinthread.sockets._answer_parser import AnswerParser
from siskinthread.sockets._answer_receiver import (
    ANSWER_PARTS_LIMIT,
    ANSWER_SIZE_LIMIT_BYTES,
    AnswerReceiver,
    INFORMATIONAL_LIMIT,
)
from siskinthread.sockets._connect import connect
from siskinthread.sockets._reset import reset

__all__ = [
    "ANSWER_PARTS_LIMIT",
    "ANSWER_SIZE_LIMIT_BYTES",
    "INFORMATIONAL_LIMIT",
    "AnswerParser",
    "AnswerReceiver",
    "connect",
    "reset",
]
