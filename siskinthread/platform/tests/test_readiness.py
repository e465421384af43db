"""Readiness of hosts that can't accept connections, or can't serve yet."""

import errno

import curio

from siskinthread.platform.tests.system import (
    run_system,
    SAFE_PATH,
    status_of,
    until,
)

CALLERS = 8


class FullListener:
    """A listening socket of a process without free file descriptors for a while."""

    def __init__(self, listener):
        self._listener = listener
        self.is_full = True

    def __getattr__(self, name):
        return getattr(self._listener, name)

    async def accept(self):
        """Fail at once while there is no descriptor, as the kernel does."""
        if self.is_full:
            raise OSError(errno.EMFILE, "Too many open files")
        return await self._listener.accept()


def test_host_without_descriptors_is_not_ready_until_it_accepts_again():
    """Guards against callers that are sent to a host that accepts no connections.

    All hosts lose power, and the callers of all come to the first host that is back; it
    runs out of descriptors, and must not report that it is ready.
    """

    async def test(system):
        callers = system.gateway._callers
        await until(lambda: callers._listening_socket is not None)
        listener = callers._listening_socket = FullListener(callers._listening_socket)
        # The accept that is under way is the last one with descriptors.
        await system.request(SAFE_PATH)
        waiting = [await curio.spawn(system.request, SAFE_PATH) for _ in range(CALLERS)]
        await until(lambda: system.gateway.unready_reason() is not None)
        refused = await system.ready_status()
        listener.is_full = False
        # It becomes ready without further connections.
        await until(lambda: system.gateway.unready_reason() is None)
        served = {status_of(await one.join()) for one in waiting}
        return refused, served, await system.ready_status()

    assert run_system(test) == (503, {200}, 200)


def test_host_without_configuration_is_not_ready():
    """Guards against a host that is ready too early, and refuses requests."""

    async def test(system):
        return await system.ready_status()

    assert run_system(test, first_mode="silent") == 503
