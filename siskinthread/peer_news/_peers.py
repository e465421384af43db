"""Sending and taking news."""

import hashlib

import curio
from curio import socket

from siskinthread.errors import ProtocolError
from siskinthread.observability import part_logger
from siskinthread.peer_news._news import News
from siskinthread.peer_news._summary import PeersSummary
from siskinthread.timing import Deadline

_logger = part_logger("peer_news")


class _Peer:
    """What is known of one peer."""

    __slots__ = ("fresh", "heard_at_s", "known", "loads_fresh", "news")

    def __init__(self, known):
        self.news = None
        self.heard_at_s = None
        self.fresh = None
        self.loads_fresh = None
        self.known = known


def _order_of(name, address):
    return hashlib.blake2b(f"{name} {address}".encode(), digest_size=8).digest()


class PeerNews:
    """Exchanges news with all entry hosts.

    Parameters
    ----------
    settings : PeerNewsSettings
        Times.
    address : siskinthread.settings.Address
        Where this process takes news.
    failure_domain : str
        Where this process runs.
    first_peers : list of siskinthread.settings.Address
        Entry hosts to tell first; the others are learnt from their news.
    clock : siskinthread.timing.Clock
        Clock of the times.
    random : random.Random
        Chooses which peers a datagram names.

    Attributes
    ----------
    describe : callable or None
        Returns this process's `HostState`.
    take_listing : callable or None
        Coroutine function that is called with each `ListStatement` of a peer.
    poison : siskinthread.poison_requests.PoisonRegister or None
        What is known of requests under which targets have ended; peers are told of
        each change at once, and of what still counts once a second.
    limits : siskinthread.target_limits.TargetLimits or None
        Takes what peers tell of the limits of targets.
    link_mbps : float
        Rate of this host's link, which peers are told; 0 if it is not known.

    Notes
    -----
    Each entry host sees its own requests only.  Eight of them, each sending to the
    targets that look idle to it, put two streams on one rank and none on the next; a
    target's own report comes only with its answers.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_domains_heard_s",
        "_failure_domain",
        "_far_deadline",
        "_first_peers",
        "_known_summary",
        "_last_sent",
        "_most_peers",
        "_peers",
        "_quiet_deadline",
        "_random",
        "_settings",
        "_settled",
        "_socket",
        "_suspects_due",
        "_suspects_told",
        "_told_s",
        "describe",
        "limits",
        "link_mbps",
        "poison",
        "take_listing",
    )

    def __init__(self, settings, address, failure_domain, first_peers, clock, random):
        self._settings = settings
        self._address = address
        self._first_peers = [one for one in first_peers if one != address]
        self._failure_domain = failure_domain
        self._clock = clock
        self._random = random
        self._peers = {}
        # When some host of each failure domain was last heard of, monotonic seconds.
        self._domains_heard_s = {}
        self._known_summary = None
        # Time between two news of near peers; reckoned when it may have changed.
        self._told_s = None
        self._most_peers = 0
        self._settled = Deadline.after(clock, settings.fleet_settle_s)
        self._socket = None
        self._last_sent = None
        self._quiet_deadline = Deadline.after(clock, 0.0)
        self._far_deadline = Deadline.after(clock, 0.0)
        self.describe = None
        self.link_mbps = 0.0
        self.take_listing = None
        self.poison = None
        self.limits = None
        # What the news that go out now tell of suspected requests, and what was told.
        self._suspects_due = []
        self._suspects_told = []

    def counts(self, instance_id):
        """Return the requests that peers have at a target, as last heard."""
        return self._summary().counts.get(instance_id, 0)

    def account_counts(self):
        """Return the requests that peers have of each client account, as last heard."""
        return self._summary().account_counts

    def has_fresh_loads(self):
        """Return whether the loads that peers told of lately are those of all.

        With so many peers that each is heard of less often than its loads count, they
        are a part only.
        """
        if self.told_interval_s() > self._settings.fresh_limit_s:
            return False
        return bool(self._summary().fresh_news)

    def is_crowded(self):
        """Return whether there are so many peers that only the near ones tell soon."""
        return len(self._peers) > self._settings.peers_at_full_rate

    def sharing_count(self):
        """Return the number of peers whose loads come soon."""
        if self.is_crowded():
            return len(self._summary().near_news)
        return len(self._peers)

    def fleet_count(self):
        """Return the most entries that were known at once, this one among them.

        Returns
        -------
        int or None
            None while there may be more than are known: the settings name some, and
            none has been heard of, or this process has just started.
        """
        is_known = self._most_peers and self._settled.passed()
        if self._first_peers and not is_known:
            return None
        return 1 + self._most_peers

    def told_interval_s(self):
        """Return the time between two news of a near peer whose loads change."""
        settings = self._settings
        crowd = max(1.0, self.sharing_count() / settings.peers_at_full_rate)
        return settings.interval_s * crowd

    def stalled_groups(self):
        """Return the groups of targets that stand still, as peers tell."""
        return self._summary().stalled_groups

    def slow_targets(self):
        """Return the targets that hold others back, as peers tell."""
        return self._summary().slow_targets

    def asked_per_s(self, service_name):
        """Return the requests a second that callers ask peers for, as last heard.

        Peers tell of services of which some target has a limit.
        """
        return self._summary().asked_rates.get(service_name, 0.0)

    def turn_of(self, name):
        """Return how many of the known hosts go before this one in a matter.

        Every host finds the same order for a name, as far as they know one another.
        """
        own = _order_of(name, self._address)
        return sum(_order_of(name, address) < own for address in self._peers)

    def newest_pass(self, group):
        """Return the newest time of a pass of a group that a peer tells, or None.

        Returns
        -------
        tuple of float, float
            The time of the pass, seconds, and when it was heard of, monotonic seconds.
        """
        oldest_s = self._clock.monotonic_s() - self._settings.pass_fresh_s
        told = [
            (peer.heard_at_s, peer.news.state.passes_s[group])
            for peer in self._peers.values()
            if peer.news is not None
            and peer.heard_at_s > oldest_s
            and group in peer.news.state.passes_s
        ]
        if not told:
            return None
        heard_at_s, pass_s = max(told)
        return pass_s, heard_at_s

    def newest_version(self):
        """Return the highest configuration version that a peer has told of."""
        versions = [news.state.table_version for news in self._summary().fresh_news]
        return max(versions, default=0)

    def informed_peers(self):
        """Return the addresses of peers that know most, the newest version first.

        Among those with the same one, hosts of the own failure domain come first.
        """
        return self._newest_first(
            one for one in self._summary().fresh_news if one.state.is_informed
        )

    def serving_peers(self):
        """Return the addresses of peers that have a configuration, newest first.

        They may be cut off from its source themselves.
        """
        return self._newest_first(
            one for one in self._summary().fresh_news if one.state.table_version
        )

    def is_reader(self):
        """Return whether this process reads the target list for its failure domain.

        It is the informed one with the first address.  While hosts come and go, two may
        be it, or none; each host still reads for itself when it hears of no read.
        """
        return self.reader_address() is None

    def is_first_of_domain(self):
        """Return whether no host of the own domain has an address before this one's."""
        return not any(
            str(news.sender) < str(self._address) for news in self._summary().near_news
        )

    def reader_address(self):
        """Return the address of the host that reads for the own domain.

        Returns
        -------
        siskinthread.settings.Address or None
            None if it is this process.
        """
        earlier = [
            news.sender
            for news in self._summary().near_news
            if news.state.is_informed and str(news.sender) < str(self._address)
        ]
        return min(earlier, key=str, default=None)

    def heard_domains(self):
        """Return the failure domains of which some host was heard lately.

        Where there are many hosts, each other domain is heard of once a second, by one
        datagram that may be lost.  Taken for silent after 1.5 s, its groups were
        controlled from two domains at once, twice within 3 s, and three of eight map
        changes did not begin.
        """
        oldest_s = self._clock.monotonic_s() - self._settings.domain_memory_s
        return {
            domain
            for domain, heard_at_s in self._domains_heard_s.items()
            if heard_at_s >= oldest_s
        }

    def is_among_first(self, count):
        """Return whether this process is one of the first of its failure domain.

        Those with the fastest links come first; one that is informed goes before all
        that are not.  Each process goes by what it has heard, so that for a moment
        there may be more of them, or fewer.
        """
        own = (-self.link_mbps, str(self._address))
        is_informed = self.describe is None or self.describe().is_informed
        better = [
            news
            for news in self._summary().near_news
            if (news.state.is_informed or not is_informed)
            and (-news.link_mbps, str(news.sender)) < own
        ]
        return len(better) < count

    async def tell_domain(self):
        """Send news to the peers of the own failure domain, without waiting."""
        if self._socket is not None:
            await self._send_to([news.sender for news in self._summary().near_news])

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
                data, source = await self._socket.recvfrom(
                    self._settings.size_limit_bytes
                )
                news = News.decode(data)
                self._take(news)
                await self._hand_on(news, data, source)
                await self._pass_on(news.state.listing)
                if self.limits is not None:
                    self.limits.hear(news.state.limits, str(news.sender))
                if self.poison is not None:
                    await self.poison.hear(news.suspects, str(news.sender))
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
        if self._told_s is None:
            self._told_s = self.told_interval_s()
        peer.news = news
        peer.heard_at_s = self._clock.monotonic_s()
        self._domains_heard_s[news.failure_domain] = peer.heard_at_s
        peer.loads_fresh = Deadline.after(self._clock, settings.fresh_limit_s)
        told_s = settings.quiet_interval_s + self._told_s
        peer.fresh = Deadline.after(self._clock, max(settings.fresh_limit_s, told_s))
        self._known_summary = None
        peer.known = Deadline.after(self._clock, settings.forget_after_s)
        for address in news.peers:
            if address not in self._peers and address != self._address:
                self._add(address)

    async def _pass_on(self, listing):
        if listing is not None and self.take_listing is not None:
            await self.take_listing(listing)

    def _add(self, address):
        known = Deadline.after(self._clock, self._settings.forget_after_s)
        peer = self._peers[address] = _Peer(known)
        self._told_s = None
        self._most_peers = max(self._most_peers, len(self._peers))
        _logger.event("peer known", peer=str(address))
        return peer

    async def _send_forever(self):
        while True:
            self._forget_silent()
            await self._send_if_due()
            await curio.sleep(self.told_interval_s())

    async def _send_if_due(self):
        state = self.describe()
        is_quiet_due = self._quiet_deadline.passed()
        suspects = [] if self.poison is None else self.poison.statements()
        is_suspect_new = self._are_new(suspects)
        is_known = state.looks_like(self._last_sent) and not is_suspect_new
        if is_known and not is_quiet_due:
            return
        self._last_sent = state
        if is_quiet_due:
            wait_s = self._settings.quiet_interval_s
            self._quiet_deadline = Deadline.after(self._clock, wait_s)
        if is_quiet_due or is_suspect_new:
            self._suspects_due = suspects
            self._suspects_told = suspects
        await self._send_round(is_quiet_due)
        self._suspects_due = []

    def _are_new(self, suspects):
        """Return whether peers have not been told of some suspected requests yet."""
        told = {one.key() for one in self._suspects_told}
        return any(one.key() not in told for one in suspects)

    async def _send_round(self, is_quiet_due):
        if not self.is_crowded():
            await self._send_to({*self._peers, *self._first_peers})
            return
        if is_quiet_due:
            await self._send_to(self._near_addresses())
            await self._tell_other_domains()
        else:
            await self.tell_domain()

    def _near_addresses(self):
        """Return all hosts of the own failure domain that are known, silent ones too.

        Two hosts that have not heard of each other for a while would stay silent to
        each other once the path between them is back.
        """
        return {
            address
            for address, peer in self._peers.items()
            if peer.news is None or peer.news.failure_domain == self._failure_domain
        }

    async def _tell_other_domains(self):
        """Tell hosts of other failure domains what is worth its way.

        Each host telling each other one once a second grows with the square of their
        number: 99 hosts sent 3 MB a second across domains (reckoned), three quarters of
        all bytes there.  So the first host of a domain tells the sum of its domain to
        one host of each other domain, which hands it on.  All others only show, now and
        then, that they are there.
        """
        is_first = self.is_first_of_domain()
        if is_first:
            domain_sum = self.describe().with_domain_sums(self._summary().near)
            await self._send_to(self._representatives(), domain_sum)
        if not self._far_deadline.passed():
            return
        # A host that has just started must be known soon.
        if self._settled.passed():
            wait_s = self._settings.far_interval_s
            self._far_deadline = Deadline.after(self._clock, wait_s)
        if not is_first:
            near = {news.sender for news in self._summary().near_news}
            await self._send_to({*self._peers, *self._first_peers} - near)

    def _representatives(self):
        """Return the hosts to tell sums to: one of each other failure domain.

        All hosts of a domain from which no sum has come lately, and those of which
        nothing has been heard.
        """
        sums = self._summary().domain_sums
        return {
            address
            for address, peer in self._peers.items()
            if peer.news is None
            or (
                peer.news.failure_domain != self._failure_domain
                and sums.get(peer.news.failure_domain, peer) is peer
            )
        }

    async def _hand_on(self, news, data, source):
        """Pass the sum of another failure domain on to the hosts of the own one.

        Only if it came from its sender: two hosts that both take themselves for the
        first would send it to and fro for ever.
        """
        is_direct = source == (news.sender.host, news.sender.port)
        is_far = news.failure_domain != self._failure_domain
        if not (news.state.is_domain_sum and is_far and is_direct):
            return
        if self.is_first_of_domain():
            await self._send_data(
                [one.sender for one in self._summary().near_news], data
            )

    async def _send_to(self, addresses, state=None):
        state = self.describe() if state is None else state
        data = News(
            self._address,
            self._failure_domain,
            state,
            self._some_peers(),
            self.link_mbps,
            self._suspects_due,
        ).encode(self._settings.size_limit_bytes)
        await self._send_data(addresses, data)

    async def _send_data(self, addresses, data):
        for address in addresses:
            try:
                await self._socket.sendto(data, (address.host, address.port))
            except OSError as error:
                _logger.event("news not sent", peer=str(address), reason=str(error))

    def _some_peers(self):
        """Return a few peers, so that news don't grow with their number."""
        heard = [address for address, one in self._peers.items() if one.news]
        count = min(len(heard), self._settings.peers_told_count)
        return self._random.sample(heard, count)

    def _forget_silent(self):
        for address in [
            one for one, peer in self._peers.items() if peer.known.passed()
        ]:
            del self._peers[address]
            self._known_summary = None
            self._told_s = None
            _logger.event("peer forgotten", peer=str(address))

    def _summary(self):
        """Return the `PeersSummary` of this moment."""
        known = self._known_summary
        if known is None or self._clock.monotonic_s() >= known.valid_until_s:
            known = PeersSummary(self._peers.values(), self._failure_domain)
            self._known_summary = known
        return known

    def state_of(self, address):
        """Return the `HostState` that a peer told last, or None."""
        peer = self._peers.get(address)
        return None if peer is None or peer.news is None else peer.news.state

    def _newest_first(self, all_news):
        """Return the senders of news, those with the newest configuration first."""
        ranked = sorted(
            all_news,
            key=lambda news: (
                -news.state.table_version,
                news.failure_domain != self._failure_domain,
            ),
        )
        return [news.sender for news in ranked]
