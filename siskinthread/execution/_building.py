"""Builds executions and attempts from frames."""

import hashlib

from siskinthread.execution._execution import Attempt, Execution
from siskinthread.execution._keys import KEYED_ID_PREFIX
from siskinthread.targets import TargetRequest
from siskinthread.timing import Deadline

UNKNOWN_SERVICE_LIFETIME_S = 300.0
RESUMED_PRIORITY = 0
DIGEST_SIZE_BYTES = 16


class ExecutionBuilder:
    """Builds executions with deadlines from their frames and the settings.

    Parameters
    ----------
    parts : ExecutionParts
        Objects that the parts of an agent share.
    """

    __slots__ = ("_clock", "_settings", "_view")

    def __init__(self, parts):
        self._clock = parts.clock
        self._settings = parts.settings
        self._view = parts.view

    def deadline(self, message):
        """Return the deadline given in a start or resume frame."""
        return Deadline.after_ms(self._clock, message.time_left_ms)

    def new_execution(self, start):
        """Return a new execution for a `StartRequest`."""
        execution = Execution(
            start.request_id,
            is_keyed(start),
            digest_of(start),
            start.priority,
            self.deadline(start),
            self._retention_deadline(start),
        )
        execution.request = _target_request(start)
        return execution

    def resumed_execution(self, message, digest):
        """Return an execution for a request that an earlier incarnation started.

        Parameters
        ----------
        message : StartRequest or ResumeRequest
            The frame that asks about the request.
        digest : bytes or None
            Digest of the request's content, if it is known.
        """
        # A keyed answer is fetched from its first byte, so that retries get all of it.
        keyed = is_keyed(message)
        return Execution(
            message.request_id,
            keyed,
            digest,
            RESUMED_PRIORITY,
            self.deadline(message),
            self._retention_deadline(message),
            0 if keyed else requested_offset_bytes(message),
        )

    def _retention_deadline(self, message):
        wait_s = self.deadline(message).left_s() + self._settings.forget_grace_s
        if is_keyed(message):
            lifetime_s = self._lifetime_s(message.service_name)
            wait_s = max(wait_s, lifetime_s + 2 * self._settings.clock_error_limit_s)
        return Deadline.after(self._clock, wait_s)

    def _lifetime_s(self, service_name):
        state = self._view.state
        service = None if state is None else state.services.get(service_name)
        if service is None:
            return UNKNOWN_SERVICE_LIFETIME_S
        return service.lifetime_limit_s


def new_attempt(attempt_id, execution, message):
    """Return the attempt of a start or resume frame for an execution."""
    return Attempt(
        attempt_id,
        execution,
        window_bytes_of(message),
        requested_offset_bytes(message),
        bool(getattr(message, "head_received", False)),
    )


def window_bytes_of(message):
    """Return the window of a frame, at least 1 byte so that the stream can proceed."""
    return max(1, message.window_bytes)


def requested_offset_bytes(message):
    """Return the offset of the first byte that a start or resume frame asks for."""
    return getattr(message, "offset_bytes", 0)


def is_keyed(message):
    """Return whether the request of a frame has an idempotency key."""
    return message.request_id.startswith(KEYED_ID_PREFIX)


def digest_of(start):
    """Return a digest of a start frame's service, method, path and body."""
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE_BYTES)
    for text in (start.service_name, start.method, start.path):
        digest.update(f"{len(text)} {text} ".encode())
    digest.update(start.body or b"")
    return digest.digest()


def _target_request(start):
    return TargetRequest(
        start.request_id,
        start.account,
        start.priority,
        bool(start.idempotent),
        start.idempotency_key,
        start.method,
        start.path,
        [(header.name, header.value) for header in start.headers or []],
        start.body or b"",
    )
