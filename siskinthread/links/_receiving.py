"""Handling of each kind of frame from an agent."""

import functools

from siskinthread.errors import ProtocolError
from siskinthread.links._waiting import WakeBatch
from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.wire import (
    ConfigurationRequest,
    ConfigurationUpdate,
    Heartbeat,
    Leaving,
    message_of,
    ResponseEnd,
    ResponseHead,
)

MILLISECONDS_PER_SECOND = 1000


async def receive_frames(frames, link):
    """Handle the frames of one read and wake the request tasks that have new events.

    Parameters
    ----------
    frames : list of Frame
        The frames in the order of their arrival.
    link : Link
        The link on which the frames arrived.

    Raises
    ------
    ProtocolError
        If the agent broke the protocol.
    """
    batch = WakeBatch()
    in_flight = link.in_flight
    try:
        for frame in frames:
            part = frame.part
            if part is None:
                message = message_of(frame)
                # No field is set if an agent of a newer version sends a kind of frame
                # that this version does not know.
                if message is not None:
                    await receive(message, link)
                continue
            exchange = in_flight.get(part.attempt)
            if exchange is None:
                continue
            try:
                new = exchange.receive_part(part)
            except ProtocolError:
                if not exchange.note_gap():
                    raise
                # The same gap came again after a new connection and a resume.
                # Replacing the connection again and again would break all other streams
                # on it.
                await link.abandon(exchange, _answer_gone())
                continue
            if not new:
                link.metrics.repeated_frames.inc()
            elif part.offset_bytes:
                batch.add(exchange.waiter)
            else:
                batch.add_priority(exchange.waiter)
    finally:
        await batch.wake()


@functools.singledispatch
async def receive(message, link):
    """Handle one message from the agent.

    Parameters
    ----------
    message : object
        The set field of a `Frame`.
    link : Link
        The link on which the message arrived.

    Raises
    ------
    ProtocolError
        If an agent may not send this kind of message.
    """
    raise ProtocolError(f"an agent may not send {type(message).__name__}")


@receive.register
async def _(message: ConfigurationRequest, link):
    await link.control.receive(message, link)


@receive.register
async def _(message: ConfigurationUpdate, link):
    await link.control.receive(message, link)


@receive.register
async def _(message: Heartbeat, link):
    await link.control.receive(message, link)
    load = message.load
    if load is None:
        return
    if None in (load.running, load.waiting, load.capacity):
        raise ProtocolError("LoadReport without running, waiting or capacity")
    link.note_load(load)


@receive.register
async def _(message: Leaving, link):
    link.status.note_leaving()


@receive.register
async def _(message: ResponseHead, link):
    exchange = link.in_flight.get(message.attempt)
    if exchange is None:
        return
    if exchange.receive_head(message):
        await exchange.waiter.wake()
    else:
        link.metrics.repeated_frames.inc()


@receive.register
async def _(message: ResponseEnd, link):
    exchange = link.in_flight.get(message.attempt)
    if exchange is None:
        await link.finish_cancelled(message.attempt)
        return
    end = _decode_end(message)
    if end.outcome == Outcome.ANSWERED and not exchange.is_complete(end.length_bytes):
        if not exchange.rest_requested:
            exchange.rest_requested = True
            await link.request_rest(exchange)
            return
        end = _answer_gone()
    await link.end(exchange, end)


def _decode_end(message):
    try:
        outcome = Outcome(message.outcome)
    except ValueError as error:
        raise ProtocolError(f"outcome {message.outcome} is unknown") from error
    retry_after_s = None
    if message.retry_after_ms is not None:
        retry_after_s = message.retry_after_ms / MILLISECONDS_PER_SECOND
    return End(
        outcome,
        _decode_reason(message.reason),
        message.message or "",
        message.length_bytes or 0,
        retry_after_s,
    )


def _decode_reason(text):
    # An agent of a newer version may send a reason that this version does not know.
    # The outcome matters more than the reason and must not be lost.
    try:
        return Reason(text)
    except ValueError:
        return text or ""


def _answer_gone():
    return End(Outcome.UNKNOWN, Reason.ANSWER_GONE, "Part of the answer is lost.")
