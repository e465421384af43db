"""Callbacks by which links notify the control plane."""

from siskinthread.errors import ProtocolError


class LinkListener:
    """Callbacks for links and their messages; this base class ignores them.

    Notes
    -----
    The ``link`` argument has ``peer_hello`` (the `Hello` of the authenticated peer),
    ``async send(frame)`` and ``async send_heartbeat()``; both methods return without
    waiting for the peer.
    """

    __slots__ = ()

    def configuration_offset(self):
        """Return the last applied offset, for heartbeats; None before the first."""

    async def answer(self, request):
        """Return the `ConfigurationUpdate` for a `ConfigurationRequest`."""
        raise ProtocolError("this process knows no configuration")

    async def link_up(self, link):
        """Called when a link is authenticated, once for each of its connections."""

    async def link_down(self, link):
        """Called when the connection of a link has ended."""

    async def receive(self, message, link):
        """Handle a `Heartbeat`, `ConfigurationRequest` or `ConfigurationUpdate`.

        Notes
        -----
        Must not wait for the peer or for a thread, because the link does not read
        meanwhile.
        """
