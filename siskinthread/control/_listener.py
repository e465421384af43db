"""What a link tells the part that passes the configuration on."""

from siskinthread.errors import ProtocolError


class LinkListener:
    """Hears of links and their messages; this one ignores all of it.

    Notes
    -----
    A link that it is told of has ``peer_hello`` (the `Hello` of the authenticated
    peer), ``async send(frame)`` and ``async send_heartbeat()``, which return without
    waiting for the peer.
    """

    __slots__ = ()

    def configuration_offset(self):
        """Return the last record that was folded, for heartbeats; None before one."""

    async def answer(self, request):
        """Return the `ConfigurationUpdate` for a `ConfigurationRequest`."""
        raise ProtocolError("this process knows no configuration")

    async def link_up(self, link):
        """Take in that a link was authenticated; repeated for each connection."""

    async def link_down(self, link):
        """Take in that the connection of a link ended."""

    async def receive(self, message, link):
        """Take in a `Heartbeat`, `ConfigurationRequest` or `ConfigurationUpdate`.

        Notes
        -----
        Must not wait for the peer or for a thread: the link reads nothing meanwhile.
        """
