"""Accept connections, enforce their limits and drain them."""

import errno
import socket as standard_socket

import curio

from siskinthread.errors import InvariantError
from siskinthread.http_server._connection import CallerConnection
from siskinthread.http_server._drain_state import DrainEndedError
from siskinthread.http_server._input_memory import CallerGroup
from siskinthread.http_server._phase import Phase
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline, SYSTEM_CLOCK

# Connections beyond the limit that get a refusal; further ones are closed at once.
REFUSED_CONNECTIONS_LIMIT = 64
ACCEPT_PAUSE_S = 0.1
# How long a failed accept counts as a lack of room; must exceed ACCEPT_PAUSE_S so that
# repeated failures count without gaps.
ACCEPT_FAILED_S = 0.5
RESTART_PAUSE_S = 0.1
# Connections that are accepted before other tasks have their turn.
ACCEPTS_PER_TURN = 16
# Beyond the limit, a connection that waited for its caller for so long is ended.
STALE_S = 1.0
# If accepting takes longer, the kernel's accept queue is considered empty.
QUEUE_EMPTY_TIMEOUT_S = 0.01
# Longest wait for the answers that end requests at the end of a drain, and for their
# connections, which leaves the rest of the stop to other duties.
FINAL_ANSWERS_S = 0.15
FINAL_ANSWERS_STEP_S = 0.005
# A longer interval between rounds of the watchdog means that the process was paused.
PROCESS_PAUSE_S = 2.0

logger = part_logger("callers")


class ConnectionServer:
    """Serves the connections of callers until a drain has finished.

    Parameters
    ----------
    settings : Section
        Limits: ``connections_limit``, ``watch_interval_s``, ``linger_limit_s``,
        ``idle_grace_s``, ``balancer_notice_s``, ``receive_buffer_bytes`` and those of
        `CallerConnection`.
    context : object
        Object with a ``drain`` (`DrainState`), ``draining``, set when readiness fails,
        and ``closing``, set when each connection is to be closed after its next
        response.
    build_session : callable
        Called with a `CallerConnection` and whether it exceeds the limit; returns an
        object with ``async run()`` that serves the connection and closes it.
    clock : siskinthread.timing.Clock
        Clock for the time limits.
    open_count : prometheus_client.Gauge
        Set to the number of open connections.
    memory : InputMemory
        Memory of the connections of all servers of the process.
    held_limit_bytes : int
        Maximum number of bytes buffered for all slow readers together; 0 for no limit.
    """

    __slots__ = (
        "_accepting",
        "_invariant_error",
        "_build_session",
        "_clock",
        "_connections",
        "_context",
        "_emptied",
        "_group",
        "_listening_socket",
        "_open_count",
        "_accept_failed_until",
        "_held_limit_bytes",
        "_settings",
        "_stopped",
        "_surplus_count",
    )

    def __init__(
        self,
        settings,
        context,
        build_session,
        clock,
        open_count,
        memory,
        held_limit_bytes=0,
    ):
        self._group = CallerGroup(memory)
        self._held_limit_bytes = held_limit_bytes
        self._settings = settings
        self._context = context
        self._build_session = build_session
        self._clock = clock
        self._open_count = open_count
        self._connections = {}
        self._surplus_count = 0
        self._emptied = curio.Event()
        self._stopped = curio.Event()
        self._accepting = None
        self._listening_socket = None
        self._invariant_error = None
        self._accept_failed_until = Deadline.after(clock, 0.0)

    @property
    def has_room(self):
        """Whether no accept has failed recently.

        Accepting fails if file descriptors or memory run out.
        """
        return self._accept_failed_until.passed()

    async def run(self, listening_socket):
        """Serve until a drain has finished or the task is cancelled.

        Parameters
        ----------
        listening_socket : curio.io.Socket
            Listening socket; closed before the method returns.

        Raises
        ------
        InvariantError
            If a request raised this error.
        """
        self._listening_socket = listening_socket
        # Accepted connections inherit it.
        listening_socket.setsockopt(
            standard_socket.SOL_SOCKET,
            standard_socket.SO_RCVBUF,
            self._settings.receive_buffer_bytes,
        )
        watchdog = await curio.spawn(
            self._run_with_restarts, self._watch_limits, daemon=True
        )
        self._accepting = await curio.spawn(
            self._run_with_restarts, self._accept_forever, daemon=True
        )
        try:
            await self._stopped.wait()
        finally:
            await self._accepting.cancel()
            await listening_socket.close()
            await self._end_connections()
            await watchdog.cancel()
        if self._invariant_error is not None:
            raise self._invariant_error

    async def drain(self, deadline):
        """Stop without interrupting requests.

        Readiness fails at once.  Connections are accepted for ``balancer_notice_s``,
        until the balancer has noticed.  After that each connection is closed after its
        next response, and idle connections are closed after a grace period.  A request
        that comes later, on a connection whose answer began before the drain, is
        accepted only if it ends before the drain; an earlier one unless it is expected
        to take longer.

        Parameters
        ----------
        deadline : siskinthread.timing.Deadline
            When to stop waiting for running requests.

        Returns
        -------
        bool
            Whether all requests were finished.
        """
        context = self._context
        context.draining = True
        context.drain.begin(deadline, self._clock)
        logger.info("drain started, readiness fails")
        notice_s = min(self._settings.balancer_notice_s, deadline.left_s())
        await self._sleep_until(Deadline.after(self._clock, notice_s))
        context.closing = True
        await self._stop_accepting()
        self._shorten_idle_waits()
        grace_s = min(self._settings.idle_grace_s, deadline.left_s())
        await self._wait_until_empty(Deadline.after(self._clock, grace_s))
        context.drain.refuse_late_requests()
        finished = await self._wait_until_empty(deadline)
        if not finished:
            await self._end_requests()
        logger.info(
            "drain ended, %d connections still open are closed", len(self._connections)
        )
        await self._stopped.set()
        return finished

    async def _run_with_restarts(self, task_function):
        """Run an endless task function and restart it after unexpected errors.

        If an error ended the only task that accepts connections, or the only one that
        enforces limits, the host would appear alive but serve no callers, or would be
        filled by slow callers.
        """
        while True:
            try:
                await task_function()
            except Exception:
                logger.exception("background task failed and is restarted")
                await curio.sleep(RESTART_PAUSE_S)

    async def _accept_forever(self):
        accepted_count = 0
        while True:
            accepted_count += 1
            if accepted_count % ACCEPTS_PER_TURN == 0:
                await curio.sleep(0)
            try:
                socket, _ = await self._listening_socket.accept()
            except OSError as error:
                if error.errno == errno.ECONNABORTED:
                    continue
                # Out of descriptors or memory: retrying at once would be a busy loop.
                if self.has_room:
                    logger.warning("accept failed: %s", error)
                self._accept_failed_until = Deadline.after(self._clock, ACCEPT_FAILED_S)
                await curio.sleep(ACCEPT_PAUSE_S)
                continue
            await self._start_session(socket)

    async def _start_session(self, socket):
        limit = self._settings.connections_limit
        if self._group.count >= limit:
            await self._group.end_stalest(self._clock.monotonic_s() - STALE_S)
        memory = self._group.memory
        if memory.is_over:
            await memory.make_room()
        is_surplus = memory.is_over or self._group.count >= limit
        # Ended connections remain open until their tasks have run.
        open_limit = limit + REFUSED_CONNECTIONS_LIMIT
        has_no_place = is_surplus and self._surplus_count >= REFUSED_CONNECTIONS_LIMIT
        if has_no_place or len(self._connections) >= open_limit:
            await socket.close()
            return
        connection = CallerConnection(socket, self._settings, self._clock, self._group)
        connection.caller.join()
        session = self._build_session(connection, is_surplus)
        task = await curio.spawn(
            self._serve, session, connection, is_surplus, daemon=True
        )
        self._connections[connection] = task
        self._surplus_count += is_surplus
        self._open_count.set(len(self._connections))

    async def _serve(self, session, connection, is_surplus):
        try:
            await session.run()
        except InvariantError as error:
            self._invariant_error = error
            await self._stopped.set()
        except Exception:
            # An error in one request must not end the others; its caller sees the
            # connection end without a complete answer.
            logger.exception("unexpected error while serving a connection")
        finally:
            del self._connections[connection]
            self._surplus_count -= is_surplus
            self._open_count.set(len(self._connections))
            if not self._connections:
                await self._emptied.set()

    async def _watch_limits(self):
        """End connections whose phase has exceeded its time limit.

        One task checks all connections, because a timeout around each write would cost
        more than the framing of the write.

        After a pause of the whole process every limit appears to have passed although
        the callers' bytes wait in the kernel.  The round after a pause is skipped so
        that the bytes are read first and callers in time are not disconnected.
        """
        checked_at_s = self._clock.monotonic_s()
        while True:
            await curio.sleep(self._settings.watch_interval_s)
            now_s = self._clock.monotonic_s()
            was_paused = now_s - checked_at_s > PROCESS_PAUSE_S
            checked_at_s = now_s
            if was_paused:
                continue
            for connection in list(self._connections):
                caller = connection.caller
                if caller.expires_at_s is not None and caller.expires_at_s <= now_s:
                    await caller.expire()
            self._group.memory.heap.trim_if_due()
            if self._held_limit_bytes:
                await self._limit_held_bytes()

    async def _limit_held_bytes(self):
        """End the slowest readers while their buffers exceed the limit.

        Between two rounds the buffers grow at most by the bytes that targets send:
        1.3 MB in 0.1 s over a link of 100 Mbit/s.
        """
        callers = [connection.caller for connection in self._connections]
        waiting = [caller for caller in callers if caller.held_bytes()]
        held_bytes = sum(caller.held_bytes() for caller in waiting)
        if held_bytes <= self._held_limit_bytes:
            return
        ended_count = 0
        for caller in sorted(waiting, key=lambda reader: reader.write_started_at_s):
            if held_bytes <= self._held_limit_bytes:
                break
            held_bytes -= caller.held_bytes()
            ended_count += 1
            await caller.end_for_memory()
        logger.warning(
            "ended %d slow readers, %d bytes remain buffered for %d others",
            ended_count,
            held_bytes,
            len(waiting) - ended_count,
        )

    async def _sleep_until(self, deadline):
        while not deadline.passed():
            await curio.sleep(min(self._settings.watch_interval_s, deadline.left_s()))

    async def _stop_accepting(self):
        """Accept the connections in the kernel's queue, then close the socket.

        Closing a listening socket resets the connections in its accept queue, including
        requests that their callers have already sent.
        """
        await self._accepting.cancel()
        while True:
            accepted = await curio.ignore_after(
                QUEUE_EMPTY_TIMEOUT_S, self._listening_socket.accept
            )
            if accepted is None:
                break
            await self._start_session(accepted[0])
        await self._listening_socket.close()

    def _shorten_idle_waits(self):
        grace_ends_at_s = self._clock.monotonic_s() + self._settings.idle_grace_s
        for connection in self._connections:
            caller = connection.caller
            if caller.phase is Phase.IDLE and caller.expires_at_s is not None:
                caller.expires_at_s = min(caller.expires_at_s, grace_ends_at_s)

    async def _end_requests(self):
        """Let the callers that still wait for an answer get a final one."""
        ended = [one for one in self._connections if one.owes_answer()]
        for connection in ended:
            await self._connections[connection].cancel(
                exc=DrainEndedError, blocking=False
            )
        deadline = Deadline.after(SYSTEM_CLOCK, FINAL_ANSWERS_S)
        while not deadline.passed():
            # Callers close their connections once they have read the answers.
            ended = [one for one in ended if one in self._connections]
            if not ended:
                return
            await curio.sleep(FINAL_ANSWERS_STEP_S)
        for connection in ended:
            await connection.caller.expire()

    async def _end_connections(self):
        for task in list(self._connections.values()):
            await task.cancel(blocking=False)
        # Each task cancels its answer; one that hangs must not delay the stop.
        has_drained = self._context.drain.ends is not None
        limit_s = FINAL_ANSWERS_S if has_drained else self._settings.linger_limit_s
        deadline = Deadline.after(SYSTEM_CLOCK, limit_s)
        await self._wait_until_empty(deadline)

    async def _wait_until_empty(self, deadline):
        while self._connections:
            if deadline.passed():
                return False
            self._emptied.clear()
            await curio.ignore_after(
                min(self._settings.watch_interval_s, deadline.left_s()),
                self._emptied.wait,
            )
        return True
