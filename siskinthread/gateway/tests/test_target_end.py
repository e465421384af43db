"""Telling a target that has ended from one that only broke an exchange off."""

import socket

import curio
import pytest

from siskinthread.gateway import GatewaySettings
from siskinthread.gateway._target_end import has_ended
from siskinthread.gateway.tests.parts import entry


class Listener:
    """A target that accepts connections only when the test says so."""

    def __init__(self):
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(8)
        self.entry = entry("i-1")
        self.entry.port = self._socket.getsockname()[1]

    async def end_after(self, wait_s):
        """Close the listener; what waits to be accepted is reset."""
        await curio.sleep(wait_s)
        self._socket.close()

    async def reset_one_after(self, wait_s):
        """Accept a connection and reset it, and go on listening."""
        await curio.sleep(wait_s)
        accepted, _ = self._socket.accept()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        accepted.close()


def look(settings, *actions):
    """Return whether a target is found to have ended, beside what it does."""

    async def main():
        listener = Listener()
        async with curio.TaskGroup(wait=all) as group:
            for action, wait_s in actions:
                await group.spawn(action, listener, wait_s)
            looking = await group.spawn(has_ended, listener.entry, settings)
        return looking.result

    return curio.run(main)


@pytest.mark.parametrize("wait_s", [0.0, 0.001, 0.003])
def test_target_whose_connections_end_before_its_listener_has_ended(wait_s):
    """A request ended a third target, after two of its tries should have been enough.

    A process that exits closes its connections before its listener: of 40 stand-ins
    that ended under a request, 3 still took a new connection just after that, 20 of 40
    beside busy processes, and reset it 0.04 ms to 0.13 ms later.  A look at that moment
    took the target for one that goes on, so that its end was not counted: of four tries
    the first and the third had ``target ended under a request``, the second, answered
    502 within 18 ms between them, had not, and the third was let through.
    """
    assert look(GatewaySettings(), (Listener.end_after, wait_s))


def test_target_that_goes_on_listening_has_not_ended():
    """One that broke off a single exchange is not counted."""
    assert not look(GatewaySettings())


def test_target_that_resets_a_connection_and_goes_on_has_not_ended():
    """One that has too many connections resets the look itself."""
    assert not look(GatewaySettings(), (Listener.reset_one_after, 0.001))
