"""One HTTP/1.1 connection from the gateway to a target."""

import errno
import select
import socket

import curio
import h11

from siskinthread.errors import ConnectionLostError, TargetError, TargetSilentError
from siskinthread.gateway._idle_connections import idle_time_limit_s
from siskinthread.outcomes import Head
from siskinthread.sockets import (
    AnswerParser,
    AnswerReceiver,
    connect,
    INFORMATIONAL_LIMIT,
    reset,
)
from siskinthread.timing import Deadline

MILLISECONDS_PER_SECOND = 1000
# TCP keep-alive probes; a connection fails after this many unanswered ones.
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Bodies up to this size fit the kernel's send buffer, so writing them can't block on a
# target that answers before it has read the body.
INLINE_BODY_BYTES = 16_384
# Maximum number of answers to other requests that are read before the awaited one.
FOREIGN_ANSWERS_LIMIT = 8
# Maximum number of parts that are read after the deadline: an answer that is ready by
# then is delivered, but not one that goes on.
LATE_PARTS_LIMIT = 256
# Longest reading after the deadline of an answer that does not state its length.
LATE_READING_S = 0.25
UNREACHABLE_ERRNOS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class TargetConnection:
    """A connection to a target, which carries one exchange at a time.

    Parameters
    ----------
    settings : GatewaySettings
        Limits.
    clock : siskinthread.timing.Clock
        Clock of idle times and send rates.

    Attributes
    ----------
    written : bool
        Whether any byte of the current request was passed to the kernel.  While it is
        False, the target can't have run the request.
    was_used : bool
        Whether an earlier exchange was completed on the connection.
    is_unacknowledged : bool
        Whether the connection failed because the target's host acknowledged no data.
    idle_before_s : float or None
        How long the connection was idle before the current exchange, seconds; None for
        a new connection.
    states_length : bool
        Whether the current answer states the length of its body.
    """

    __slots__ = (
        "_body",
        "_clock",
        "_http",
        "_note_written",
        "_request",
        "_idle_deadline",
        "_idle_since_s",
        "_late_count",
        "_late_reading_ends",
        "_receiver",
        "_sender",
        "_sending_since_s",
        "_sent_bytes",
        "_settings",
        "_socket",
        "is_unacknowledged",
        "idle_before_s",
        "states_length",
        "was_used",
        "written",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._socket = None
        self._receiver = None
        self._late_count = 0
        # Counted from the first late read: after a pause of the process, an answer that
        # is ready is still read.
        self._late_reading_ends = None
        self.states_length = False
        self._http = None
        self._request = None
        self._body = b""
        self._idle_deadline = None
        self._idle_since_s = None
        self._sender = None
        self._note_written = None
        self._sending_since_s = None
        self._sent_bytes = 0
        self.is_unacknowledged = False
        self.idle_before_s = None
        self.was_used = False
        self.written = False

    async def open(self, host, port, deadline):
        """Connect to a target.

        Parameters
        ----------
        host : str
            Address of the target.
        port : int
            Its port.
        deadline : siskinthread.timing.Deadline
            When to give up.

        Raises
        ------
        ConnectionLostError
            If the target can't be reached in time; nothing was sent.
        """
        opened = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        wait_s = min(self._settings.connect_limit_s, deadline.left_s())
        try:
            self._set_options(opened)
            await connect(opened, (host, port), wait_s)
        except (OSError, curio.TaskTimeout) as error:
            await opened.close()
            raise ConnectionLostError(f"can't connect: {error!r}") from error
        except curio.CancelledError:
            await opened.close()
            raise
        self._attach(opened)

    async def send_request(
        self, method, path, headers, body, deadline, note_written=None
    ):
        """Send a complete request; a large body is sent by a background task.

        Parameters
        ----------
        method, path : str
            Method and path of the request line.
        headers : list of tuple of bytes, bytes
            The headers.
        body : bytes
            The body.
        deadline : siskinthread.timing.Deadline
            When to give up.
        note_written : callable or None
            Called once the first byte is passed to the kernel.

        Raises
        ------
        ConnectionLostError
            If the connection failed; `written` is True if the target may have got the
            request.
        TargetError
            If the target did not read the request until the deadline.
        """
        self._http = self._new_http()
        self._receiver.begin_answer()
        self._late_count = 0
        self._late_reading_ends = None
        self.states_length = False
        self.written = False
        self._request = h11.Request(method=method, target=path, headers=headers)
        self._body = body
        self._note_written = note_written
        parts = self._encode_request(body)
        is_inline = len(body) <= INLINE_BODY_BYTES
        if self.was_used and is_inline:
            connections = self._settings.connections
            self._set_user_timeout(connections.unacknowledged_limit_s)
        if not is_inline:
            # The target may answer and stop reading before it has the complete body.
            self.written = True
            self._sending_since_s = self._clock.monotonic_s()
            self._sent_bytes = 0
            self._sender = await curio.spawn(self._send_all, parts, daemon=True)
            return
        try:
            data = b"".join(parts)
            await curio.timeout_after(deadline.left_s(), self._send_all, [data])
        except curio.TaskTimeout as error:
            raise TargetError("the target takes no bytes") from error
        except OSError as error:
            raise ConnectionLostError(f"writing failed: {error!r}") from error

    async def receive_head(self, deadline, is_awaited):
        """Return the `Head` of the answer to the current request.

        Parameters
        ----------
        deadline : siskinthread.timing.Deadline
            When to give up.
        is_awaited : callable
            Returns whether a `Head` belongs to the current request.

        Raises
        ------
        TargetSilentError
            If no answer arrived until the deadline.
        TargetError
            If the answer is unreadable or the connection failed.

        Notes
        -----
        A faulty target may answer an earlier request twice, so that the second answer
        arrives when the current one is expected.  Such an answer is read and dropped;
        otherwise a caller would get the answer to another caller's request.
        """
        for _ in range(FOREIGN_ANSWERS_LIMIT + 1):
            head = await self._receive_any_head(deadline)
            if is_awaited(head):
                return head
            while await self.receive_data(deadline) is not None:
                pass
            self._expect_answer_again()
        raise TargetError("too many answers to other requests")

    async def receive_data(self, deadline):
        """Return the next bytes of the body; None at its end.

        Raises
        ------
        TargetSilentError
            If no data arrived until the deadline, or the body went on beyond it.
        AnswerTooLongError
            If the answer exceeds its limits of bytes or parts.
        TargetError
            If the body is incomplete.
        """
        event = await self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise TargetError("the answer broke off")

    def send_rate(self, now_s, least_s):
        """Return the rate at which a large body is sent, bytes per second.

        Parameters
        ----------
        now_s : float
            Current time, monotonic seconds.
        least_s : float
            Shortest duration of sending for which a rate is returned, seconds.

        Returns
        -------
        float or None
            None if no large body is being sent, or for less than `least_s`.
        """
        if self._sender is None or self._sender.terminated:
            return None
        duration_s = now_s - self._sending_since_s
        return self._sent_bytes / duration_s if duration_s >= least_s else None

    async def end_exchange(self):
        """Shut the socket down, so that the task that waits for the answer fails.

        Raises
        ------
        OSError
            If the connection has already ended.
        """
        await self._socket.shutdown(socket.SHUT_RDWR)

    async def make_idle(self, stated_s):
        """Make the connection idle after a complete exchange.

        Parameters
        ----------
        stated_s : float or None
            Keep-alive time-out that the target states, seconds.

        Returns
        -------
        bool
            Whether the connection can be reused.  False if bytes follow the answer, as
            they belong to no request.
        """
        http = self._http
        if self._sender is not None:
            if not self._sender.terminated:
                return False
            self._sender = None
        if (http.our_state, http.their_state) != (h11.DONE, h11.DONE):
            return False
        if http.trailing_data[0] or self._is_readable():
            return False
        self._set_user_timeout(self._settings.silence_limit_s)
        limit_s = idle_time_limit_s(self._settings, stated_s)
        self._idle_deadline = Deadline.after(self._clock, limit_s)
        self._idle_since_s = self._clock.monotonic_s()
        self.was_used = True
        return True

    def is_reusable(self):
        """Return whether an idle connection may carry another request."""
        return not self._idle_deadline.passed() and not self._is_readable()

    def end_idle(self):
        """Record the idle time at the start of the next exchange."""
        self.idle_before_s = self._clock.monotonic_s() - self._idle_since_s

    async def close(self):
        """Close the connection while no exchange is in progress."""
        async with curio.disable_cancellation():
            await self._stop_sending()
            if self._socket is not None:
                await self._socket.close()

    async def abort(self):
        """Reset the connection during an exchange.

        Unsent data is discarded: it must not arrive after a network failure has ended,
        when the request may have been answered by another target and the target may be
        leaving.
        """
        async with curio.disable_cancellation():
            await self._stop_sending()
            if self._socket is not None:
                await reset(self._socket)

    def _attach(self, opened):
        self._socket = opened
        self._receiver = AnswerReceiver(
            opened,
            self._settings.answer_size_limit_bytes,
            self._settings.answer_parts_limit,
        )

    async def _stop_sending(self):
        if self._sender is not None:
            await self._sender.cancel()

    def _new_http(self):
        return AnswerParser(
            max_incomplete_event_size=self._settings.answer_head_limit_bytes
        )

    def _encode_request(self, body):
        send = self._http.send
        parts = [send(self._request)]
        if body:
            parts.append(send(h11.Data(body)))
        parts.append(send(h11.EndOfMessage()))
        return parts

    async def _send_all(self, parts):
        """Send byte strings; a large body is not copied to join it with its head."""
        for data in parts:
            while data:
                sent_bytes = await self._socket.send(data)
                self.written = True
                if self._note_written is not None:
                    self._note_written()
                    self._note_written = None
                self._sent_bytes += sent_bytes
                data = memoryview(data)[sent_bytes:]

    async def _receive_any_head(self, deadline):
        for _ in range(INFORMATIONAL_LIMIT):
            event = await self._next_event(deadline)
            if isinstance(event, h11.Response):
                names = {name for name, _ in event.headers}
                self.states_length = b"content-length" in names
                return Head(
                    event.status_code,
                    [
                        (name.decode("ascii"), value.decode("latin-1"))
                        for name, value in event.headers
                    ],
                )
            if not isinstance(event, h11.InformationalResponse):
                break
        raise TargetError("the connection ended before the answer")

    def _expect_answer_again(self):
        """Prepare to read the next answer after that to another request."""
        if self._http.their_state is not h11.DONE:
            raise TargetError("the connection ends with another request's answer")
        rest = self._http.trailing_data[0]
        self._http = self._new_http()
        # The request is already sent; encoding it again only sets the state of h11.
        self._encode_request(self._body)
        if rest:
            self._http.receive_data(rest)

    async def _next_event(self, deadline):
        await self._receiver.note_part()
        self._check_lateness(deadline)
        try:
            event = self._http.next_event()
            while event is h11.NEED_DATA:
                self._http.receive_data(await self._receive(deadline))
                event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise TargetError(f"unreadable answer: {error}") from error
        return event

    async def _receive(self, deadline):
        self._check_lateness(deadline)
        try:
            data = await curio.timeout_after(deadline.left_s(), self._receiver.receive)
        except curio.TaskTimeout as error:
            raise TargetSilentError("silent past the limit") from error
        except OSError as error:
            self.is_unacknowledged = error.errno in UNREACHABLE_ERRNOS
            raise TargetError(f"connection failed: {error!r}") from error
        if not data and self._http.their_state is h11.SEND_RESPONSE:
            raise TargetError("the connection ended before the answer")
        return data

    def _check_lateness(self, deadline):
        if not deadline.passed():
            return
        if self._late_reading_ends is None:
            self._late_reading_ends = Deadline.after(self._clock, LATE_READING_S)
        self._late_count += 1
        is_over = self._late_reading_ends.passed() and not self.states_length
        if is_over or self._late_count > LATE_PARTS_LIMIT:
            raise TargetSilentError("the answer went on past the limit")

    def _is_readable(self):
        # An idle connection that the target has closed is readable.  A request written
        # to it would be lost with an unknown outcome.
        poller = select.poll()
        poller.register(self._socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def _set_user_timeout(self, limit_s):
        """Set how long sent data may stay unacknowledged, seconds."""
        limit_ms = round(limit_s * MILLISECONDS_PER_SECOND)
        option = socket.TCP_USER_TIMEOUT
        self._socket.setsockopt(socket.IPPROTO_TCP, option, limit_ms)

    def _set_options(self, opened):
        silence_ms = round(self._settings.silence_limit_s * MILLISECONDS_PER_SECOND)
        options = (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            # A target without power, or a network path that has dropped the connection,
            # does not answer at all.  Without the user time-out and keep-alive probes a
            # request would wait until its deadline.
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
        )
        for level, name, value in options:
            opened.setsockopt(level, name, value)
