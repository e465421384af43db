"""Sending and taking news."""

import curio
from curio import socket

from siskinthread.errors import ProtocolError
from siskinthread.observability import part_logger
from siskinthread.peer_news._news import News
from siskinthread.timing import Deadline

_logger = part_logger("peer_news")


class _Peer:
    """What is known of one peer."""

    __slots__ = ("fresh", "known", "news")

    def __init__(self, known):
        self.news = None
        self.fresh = None
        self.known = known


class PeerNews:
    """Exchanges news with all entry hosts.

    Parameters
    ----------
    settings : PeerNewsSettings
        Times.
    address : siskinthread.settings.Address
        Where this process takes news.
    first_peers : list of siskinthread.settings.Address
        Entry hosts to tell first; the others are learnt from their news.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Attributes
    ----------
    describe : callable or None
        Returns table version, whether it is informed, and counts by target.

    Notes
    -----
    Each entry host sees its own requests only.  Eight of them, each sending to the
    targets that look idle to it, put two streams on one rank and none on the next; a
    target's own report comes only with its answers.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_first_peers",
        "_last_sent",
        "_peers",
        "_quiet_deadline",
        "_settings",
        "_socket",
        "describe",
    )

    def __init__(self, settings, address, first_peers, clock):
        self._settings = settings
        self._address = address
        self._first_peers = [one for one in first_peers if one != address]
        self._clock = clock
        self._peers = {}
        self._socket = None
        self._last_sent = None
        self._quiet_deadline = Deadline.after(clock, 0.0)
        self.describe = None

    def counts(self, instance_id):
        """Return the requests that peers have at a target, as last heard."""
        return sum(peer.news.counts.get(instance_id, 0) for peer in self._fresh_peers())

    def has_fresh_news(self):
        """Return whether any peer has been heard of lately."""
        return any(True for _ in self._fresh_peers())

    def newest_version(self):
        """Return the highest configuration version that a peer has told of."""
        versions = [peer.news.table_version for peer in self._fresh_peers()]
        return max(versions, default=0)

    def informed_peers(self):
        """Return the addresses of peers that know most, the newest version first."""
        informed = [peer.news for peer in self._fresh_peers() if peer.news.is_informed]
        informed.sort(key=lambda news: news.table_version, reverse=True)
        return [news.sender for news in informed]

    def serving_peers(self):
        """Return the addresses of peers that have a configuration, newest first.

        They may be cut off from its source themselves.
        """
        serving = [peer.news for peer in self._fresh_peers() if peer.news.table_version]
        serving.sort(key=lambda news: news.table_version, reverse=True)
        return [news.sender for news in serving]

    async def run(self):
        """Exchange news until cancelled."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind((self._address.host, self._address.port))
            sending = await curio.spawn(self._send_forever, daemon=True)
            try:
                await self._receive_forever()
            finally:
                await sending.cancel()
        finally:
            await self._socket.close()

    async def _receive_forever(self):
        while True:
            try:
                data, _ = await self._socket.recvfrom(self._settings.size_limit_bytes)
                self._take(News.decode(data))
            except ProtocolError as error:
                _logger.event("news dropped", reason=str(error))
            except ConnectionError:
                # A datagram sent earlier was refused; its sender learns it here.
                continue

    def _take(self, news):
        settings = self._settings
        peer = self._peers.get(news.sender)
        if peer is None:
            peer = self._add(news.sender)
        peer.news = news
        peer.fresh = Deadline.after(self._clock, settings.fresh_limit_s)
        peer.known = Deadline.after(self._clock, settings.forget_after_s)
        for address in news.peers:
            if address not in self._peers and address != self._address:
                self._add(address)

    def _add(self, address):
        known = Deadline.after(self._clock, self._settings.forget_after_s)
        peer = self._peers[address] = _Peer(known)
        _logger.event("peer known", peer=str(address))
        return peer

    async def _send_forever(self):
        while True:
            self._forget_silent()
            await self._send_if_due()
            settings = self._settings
            crowd = max(1.0, len(self._peers) / settings.peers_at_full_rate)
            await curio.sleep(settings.interval_s * crowd)

    async def _send_if_due(self):
        described = self.describe()
        if described == self._last_sent and not self._quiet_deadline.passed():
            return
        self._last_sent = described
        self._quiet_deadline = Deadline.after(
            self._clock, self._settings.quiet_interval_s
        )
        heard = [address for address, one in self._peers.items() if one.news]
        data = News(self._address, *described, peers=heard).encode()
        for address in {*self._peers, *self._first_peers}:
            try:
                await self._socket.sendto(data, (address.host, address.port))
            except OSError as error:
                _logger.event("news not sent", peer=str(address), reason=str(error))

    def _forget_silent(self):
        for address in [
            one for one, peer in self._peers.items() if peer.known.passed()
        ]:
            del self._peers[address]
            _logger.event("peer forgotten", peer=str(address))

    def _fresh_peers(self):
        return (
            peer
            for peer in self._peers.values()
            if peer.fresh is not None and not peer.fresh.passed()
        )
