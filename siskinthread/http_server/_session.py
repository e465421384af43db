"""Serve the requests of a connection in sequence."""

import abc

import curio

from siskinthread.errors import ConnectionLostError
from siskinthread.http_server._refusal import Refusal


class Session(abc.ABC):
    """Serves one connection until it ends.

    Parameters
    ----------
    connection : CallerConnection
        The connection.
    context : object
        Context shared by all connections, with ``settings``, ``closing`` and
        ``ended_count``.

    Attributes
    ----------
    head : RequestHead or None
        Head of the current request.
    """

    __slots__ = ("connection", "context", "head")

    def __init__(self, connection, context):
        self.connection = connection
        self.context = context
        self.head = None

    @abc.abstractmethod
    async def answer(self, head):
        """Answer one request; return whether the connection stays usable."""

    @abc.abstractmethod
    async def refuse(self, refusal, in_transfer=False):
        """Write a `Refusal`; return whether the connection stays usable.

        Parameters
        ----------
        refusal : Refusal
            Refusal to report to the caller.
        in_transfer : bool
            Whether the request was refused while its body was read.
        """

    def idle_limit_s(self):
        """Return the maximum time to wait for the next request, seconds."""
        settings = self.context.settings
        if self.context.closing:
            return min(settings.idle_grace_s, settings.idle_limit_s)
        return settings.idle_limit_s

    async def run(self):
        """Serve all requests and close the connection."""
        caller = self.connection.caller
        try:
            await caller.open()
            await self._serve()
            if not self.connection.appears_complete_if_closed():
                await caller.linger()
        except ConnectionLostError:
            pass
        except curio.CancelledError:
            if caller.ending is None:
                # The server is stopping.
                raise
        finally:
            if caller.ending is not None:
                self.context.ended_count.labels(caller.ending.value).inc()
            async with curio.disable_cancellation():
                if self.connection.appears_complete_if_closed():
                    await caller.abort()
                else:
                    await caller.close()

    async def _serve(self):
        connection = self.connection
        while True:
            self.head = None
            head = await connection.read_head(self.idle_limit_s())
            if head is None:
                return
            if isinstance(head, Refusal):
                await self.refuse(head)
                return
            self.head = head
            if not await self.answer(head):
                return
            if not connection.start_next_request():
                return
