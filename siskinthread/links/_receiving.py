"""What a link does with each kind of frame from its agent."""

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
    """Take over the frames of one read and wake the request tasks that have news.

    Parameters
    ----------
    frames : list of Frame
        In the order of their arrival.
    link : Link
        The link on which they came.

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
                # Nothing is set when a newer agent sends a kind of frame that this
                # version does not know.
                if message is not None:
                    await receive(message, link)
                continue
            exchange = in_flight.get(part.attempt)
            if exchange is None:
                continue
            try:
                new = exchange.receive_part(part)
            except ProtocolError:
                if not exchange.gap_repeats():
                    raise
                # A new connection and a resume brought the same gap again.  Replacing
                # the connection for ever would break every other stream on it.
                await link.abandon(exchange, _answer_gone())
                continue
            if not new:
                link.metrics.repeated_frames.inc()
            elif part.offset_bytes:
                batch.add(exchange.place)
            else:
                batch.add_first(exchange.place)
    finally:
        await batch.wake()


@functools.singledispatch
async def receive(message, link):
    """Take over one message from the agent.

    Parameters
    ----------
    message : object
        The set field of a `Frame`.
    link : Link
        The link on which it came.

    Raises
    ------
    ProtocolError
        If an agent may not send the message.
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
        raise ProtocolError("a load report without figures")
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
        await exchange.place.wake()
    else:
        link.metrics.repeated_frames.inc()


@receive.register
async def _(message: ResponseEnd, link):
    exchange = link.in_flight.get(message.attempt)
    if exchange is None:
        await link.finish_cancelled(message.attempt)
        return
    end = _end_of(message)
    if end.outcome == Outcome.ANSWERED and not exchange.is_whole(end.length_bytes):
        if not exchange.asked_for_rest:
            exchange.asked_for_rest = True
            await link.ask_again(exchange)
            return
        end = _answer_gone()
    await link.end(exchange, end)


def _end_of(message):
    try:
        outcome = Outcome(message.outcome)
    except ValueError as error:
        raise ProtocolError(f"outcome {message.outcome} is unknown") from error
    retry_after_s = None
    if message.retry_after_ms is not None:
        retry_after_s = message.retry_after_ms / MILLISECONDS_PER_SECOND
    return End(
        outcome,
        _reason_of(message.reason),
        message.message or "",
        message.length_bytes or 0,
        retry_after_s,
    )


def _reason_of(word):
    # An agent of a newer version may give a reason that this version does not know;
    # the outcome counts, and it must not be lost over the word.
    try:
        return Reason(word)
    except ValueError:
        return word or ""


def _answer_gone():
    return End(Outcome.UNKNOWN, Reason.ANSWER_GONE, "Part of the answer is lost.")
