"""Handling of each kind of frame from an entry."""

import functools
import types

from siskinthread.errors import ProtocolError
from siskinthread.wire import (
    Acknowledge,
    CancelRequest,
    ConfigurationRequest,
    ConfigurationUpdate,
    Heartbeat,
    ResumeRequest,
    StartRequest,
)

START_FIELDS = (
    "attempt",
    "request_id",
    "service_name",
    "account",
    "priority",
    "time_left_ms",
    "method",
    "path",
    "window_bytes",
)
RESUME_FIELDS = (
    "attempt",
    "request_id",
    "sent_to_incarnation",
    "offset_bytes",
    "window_bytes",
    "time_left_ms",
)


@functools.singledispatch
async def receive(message, link):
    """Handle one message from an entry.

    Parameters
    ----------
    message : object
        The set field of a `Frame`.
    link : Link
        The link on which the message arrived.

    Raises
    ------
    ProtocolError
        If an entry may not send this kind of message, or a field is missing.
    """
    raise ProtocolError(f"an entry may not send {type(message).__name__}")


@receive.register
async def _(message: types.NoneType, link):
    # An entry of a newer version may send a kind of frame that this version does not
    # know.  Dropping the link would keep mixed versions from working together.
    pass


@receive.register
async def _(message: Heartbeat, link):
    # The silence deadline was already restarted when the frame was read.
    await link.control.receive(message, link)


@receive.register
async def _(message: ConfigurationRequest, link):
    await link.control.receive(message, link)


@receive.register
async def _(message: ConfigurationUpdate, link):
    await link.control.receive(message, link)


@receive.register
async def _(message: StartRequest, link):
    _check_fields(message, START_FIELDS)
    await link.handler.start(message, link)


@receive.register
async def _(message: ResumeRequest, link):
    _check_fields(message, RESUME_FIELDS)
    if message.offset_bytes < 0:
        raise ProtocolError("ResumeRequest with a negative offset")
    await link.handler.resume(message, link)


@receive.register
async def _(message: Acknowledge, link):
    _check_fields(message, ("attempt", "received_bytes"))
    await link.handler.acknowledge(message, link)


@receive.register
async def _(message: CancelRequest, link):
    _check_fields(message, ("attempt", "request_id"))
    await link.handler.cancel(message, link)


def _check_fields(message, names):
    # Every field is optional on the wire.  Without this check, a missing field would
    # raise a TypeError later, after part of the request had been recorded.
    missing = [name for name in names if getattr(message, name) is None]
    if missing:
        kind = type(message).__name__
        raise ProtocolError(f"{kind} without {', '.join(missing)}")
