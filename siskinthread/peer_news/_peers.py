"""Sending and receiving of gossip datagrams."""

import curio
from curio import socket

from siskinthread.errors import ProtocolError
from siskinthread.observability import part_logger
from siskinthread.peer_news._listing_message import (
    decode_listing_message,
    encode_listing_message,
    LISTING_PREFIX,
)
from siskinthread.peer_news._message import PeerMessage
from siskinthread.peer_news._outages import (
    decode_outage_message,
    encode_outage_message,
    OUTAGES_PREFIX,
)
from siskinthread.peer_news._peer_view import PeerView
from siskinthread.peer_news._reading_message import (
    decode_reading_message,
    encode_reading_message,
    READING_PREFIX,
)
from siskinthread.settings import Address
from siskinthread.timing import Deadline

_logger = part_logger("peer_news")
# Rounds in which a change of evacuations or of cold targets is sent to other failure
# domains at once. With a tenth of the datagrams lost, three in a row are lost in one
# case of 1,000.
URGENT_ROUNDS = 3


class PeerGossip(PeerView):
    """Exchanges state with all entry hosts.

    Parameters
    ----------
    settings : PeerGossipSettings
        Intervals and limits.
    address : siskinthread.settings.Address
        UDP address on which this process receives messages.
    failure_domain : str
        Failure domain of this process.
    first_peers : list of siskinthread.settings.Address
        Entry hosts to contact first; the others are learnt from their messages.
    clock : siskinthread.timing.Clock
        Clock of the deadlines.
    random : random.Random
        Chooses which peers a datagram names.

    Attributes
    ----------
    on_listing : callable or None
        Coroutine function that is called with each `ListStatement` of a peer.
    on_far_listing : callable or None
        Coroutine function that is called with each `ListStatement` that a reader of
        another failure domain sends at once, and with the address of the reader.
    on_far_reading : callable or None
        Coroutine function that is called with each `TableReading` of the first reader
        of all failure domains.
    on_reading : callable or None
        Coroutine function that is called with each `TableReading` of a peer of the own
        failure domain, and the peer's address.
    poison : siskinthread.poison_requests.PoisonRegister or None
        Requests under which targets have ended.  Peers are sent each change at once,
        and all statements that still count once per quiet interval.
    limits : siskinthread.target_limits.TargetLimits or None
        Receives what peers report of the limits of targets.
    on_backoffs, on_leaving, on_cold : callable or None
        Called with the list of `BackoffStatement`, `LeavingStatement` and
        `ColdStatement` of a peer, and its address as text.
    on_outages : callable or None
        Called with the list of `GroupOutageStatement` of a peer, and its address as
        text.
    on_evacuations : callable or None
        Called with the `EvacuationStatement` of a peer, or None, and its address as
        text.

    Notes
    -----
    Each entry host sees its own requests only, and a target's own report comes only
    with its answers.  Without the loads of the others, eight hosts that each send to
    the targets that look idle to them put two streams on one rank and none on the next.
    """

    __slots__ = (
        "_far_deadline",
        "_last_sent_state",
        "_quiet_deadline",
        "_random",
        "_reading_deadline",
        "_round_deadline",
        "_socket",
        "_outgoing_suspects",
        "_last_suspects",
        "_urgent_rounds",
        "_last_urgent_keys",
        "limits",
        "poison",
        "on_evacuations",
        "on_cold",
        "on_far_listing",
        "on_far_reading",
        "on_leaving",
        "on_listing",
        "on_backoffs",
        "on_outages",
        "on_reading",
    )

    def __init__(self, settings, address, failure_domain, first_peers, clock, random):
        super().__init__(settings, address, failure_domain, first_peers, clock)
        self._random = random
        self._socket = None
        self._last_sent_state = None
        # Urgent state as it was sent last, and the number of rounds in which it is
        # still sent to other failure domains.
        self._last_urgent_keys = None
        self._urgent_rounds = 0
        self._round_deadline = Deadline.after(clock, 0.0)
        self._quiet_deadline = Deadline.after(clock, 0.0)
        self._far_deadline = Deadline.after(clock, 0.0)
        # When the reading of this host must be sent to its failure domain again.
        self._reading_deadline = Deadline.after(clock, 0.0)
        self.on_listing = None
        self.on_far_listing = None
        self.on_far_reading = None
        self.on_reading = None
        self.on_backoffs = None
        self.on_leaving = None
        self.on_outages = None
        self.on_evacuations = None
        self.on_cold = None
        self.poison = None
        self.limits = None
        # Suspected requests in the messages of the current round, and those that were
        # sent last.
        self._outgoing_suspects = []
        self._last_suspects = []

    async def send_to_domain(self):
        """Send the state to the peers of the own failure domain, without waiting."""
        if self._socket is not None:
            await self._send_to(
                [message.sender for message in self._summary().near_messages]
            )

    async def send_listing(self, listing):
        """Notify the reader of each other failure domain of a read of the target list.

        Parameters
        ----------
        listing : ListStatement
            The read.
        """
        if self._socket is not None:
            data = encode_listing_message(listing)
            await self._send_data(self.far_readers(), data)

    async def send_reading(self, reading):
        """Send a `TableReading` to the reader of each other failure domain."""
        if self._socket is not None:
            await self._send_data(self.far_readers(), encode_reading_message(reading))

    async def tell_outages(self, statements):
        """Send group states to all hosts at once, in a datagram of their own.

        A regular message would displace the last one of the same sender, and that one
        may hold the sum of a failure domain.

        Parameters
        ----------
        statements : list of GroupOutageStatement
            States that this host has observed itself.
        """
        if self._socket is not None:
            data = encode_outage_message(self._address, statements)
            await self._send_data({*self._peers, *self._first_peers}, data)

    async def run(self):
        """Exchange messages until cancelled."""
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
                if data.startswith(OUTAGES_PREFIX):
                    self._handle_outage_message(data)
                    continue
                if data.startswith(LISTING_PREFIX):
                    await self._handle_listing_message(data, source)
                    continue
                if data.startswith(READING_PREFIX):
                    await self._handle_reading_message(data)
                    continue
                message = PeerMessage.decode(data)
                self._receive(message)
                await self._forward_sum(message, data, source)
                await self._dispatch_listing(message.state.listing)
                self._dispatch_statements(message)
                await self._dispatch_reading(message)
                if self.poison is not None:
                    await self.poison.hear(message.suspects, str(message.sender))
            except ProtocolError as error:
                _logger.event("peer message dropped", reason=str(error))
            except ConnectionError:
                # An earlier sendto to a closed port is reported on the next receive.
                continue

    def _dispatch_statements(self, message):
        """Pass the announcements of targets in a message to their consumers."""
        told_by = str(message.sender)
        if self.limits is not None:
            self.limits.hear(message.state.limits, told_by)
        if self.on_backoffs is not None:
            self.on_backoffs(message.state.backoffs, told_by)
        if self.on_leaving is not None:
            self.on_leaving(message.state.leaving, told_by)
        if self.on_outages is not None:
            self.on_outages(message.state.group_outages, told_by)
        if self.on_evacuations is not None:
            self.on_evacuations(message.state.evacuations, told_by)
        if self.on_cold is not None:
            self.on_cold(message.state.cold, told_by)

    def _handle_outage_message(self, data):
        sender, statements = decode_outage_message(data)
        if self.on_outages is not None:
            self.on_outages(statements, str(sender))

    async def _handle_listing_message(self, data, source):
        listing = decode_listing_message(data)
        if self.on_far_listing is not None:
            await self.on_far_listing(listing, Address(*source))

    async def _handle_reading_message(self, data):
        reading = decode_reading_message(data)
        if self.on_far_reading is not None:
            await self.on_far_reading(reading)

    async def _dispatch_listing(self, listing):
        if listing is not None and self.on_listing is not None:
            await self.on_listing(listing)

    async def _dispatch_reading(self, message):
        """Pass on the reading of a reader of the own failure domain.

        Call it after the evacuations of the same message have been passed on, as these
        are valid up to the position of the reading.
        """
        reading = message.state.table_reading
        is_near = message.failure_domain == self._failure_domain
        if reading is None or self.on_reading is None:
            return
        if is_near and message.state.is_informed:
            await self.on_reading(reading, message.sender)

    async def _send_forever(self):
        while True:
            self._forget_silent_peers()
            await self._send_when_due()
            await curio.sleep(self.round_wait_s())

    def round_wait_s(self):
        """Return the time until the next check whether peers must be sent something.

        Where cold targets are limited, an urgent change does not wait for the next
        round, which comes each 1.25 s with 100 hosts in a failure domain.
        """
        wait_s = self._round_deadline.left_s()
        return min(self._settings.interval_s, wait_s) if self.sends_roster else wait_s

    async def _send_when_due(self):
        """Send messages if a round is due, or an urgent change is pending."""
        if not self._round_deadline.passed():
            self._schedule_urgent(self.describe())
            if not self._urgent_rounds:
                return
        wait_s = self.send_interval_s()
        self._round_deadline = Deadline.after(self._clock, wait_s)
        await self._run_round()

    async def _run_round(self):
        state = self.describe()
        self._schedule_urgent(state)
        is_quiet_due = self._quiet_deadline.passed()
        suspects = [] if self.poison is None else self.poison.statements()
        is_suspect_new = self._has_new(suspects)
        is_known = state.is_equivalent_to(self._last_sent_state) and not is_suspect_new
        is_far_due = is_quiet_due or self._urgent_rounds > 0
        if is_known and not is_far_due:
            if state.table_reading is not None and self._reading_deadline.passed():
                await self.send_to_domain()
            return
        self._last_sent_state = state
        self._urgent_rounds = max(0, self._urgent_rounds - 1)
        if is_quiet_due:
            wait_s = self._settings.quiet_interval_s
            self._quiet_deadline = Deadline.after(self._clock, wait_s)
        if is_quiet_due or is_suspect_new:
            self._outgoing_suspects = suspects
            self._last_suspects = suspects
        await self._send_round(is_far_due)
        self._outgoing_suspects = []

    def _schedule_urgent(self, state):
        """Schedule a change of evacuations or cold targets for all domains at once.

        Without this, each hop to another domain waits for the next quiet round: with 12
        hosts and two failure domains cut off from each other, hosts that the source
        rejects learnt of an evacuation up to 2.4 s late.  The first host of a domain
        includes what the other hosts of the domain know of cold targets.
        """
        if self.is_crowded() and self.is_first_of_domain():
            state = self._with_domain_sums(state)
        names = state.urgent_keys()
        if self._last_sent_state is not None and names != self._last_urgent_keys:
            self._urgent_rounds = URGENT_ROUNDS
        self._last_urgent_keys = names

    def _with_domain_sums(self, state):
        near = self._summary().near
        return state.with_domain_sums(near, near.cold(self._clock.monotonic_s()))

    def _has_new(self, suspects):
        """Return whether some suspected requests have not been sent to peers yet."""
        sent = {one.key() for one in self._last_suspects}
        return any(one.key() not in sent for one in suspects)

    async def _send_round(self, is_far_due):
        if not self.is_crowded():
            await self._send_to({*self._peers, *self._first_peers})
            return
        if is_far_due:
            await self._send_to(self._near_addresses())
            await self._send_to_other_domains()
        else:
            await self.send_to_domain()

    def _near_addresses(self):
        """Return all known hosts of the own failure domain, silent ones included.

        If silent hosts were left out, two hosts that were cut off from each other would
        not contact each other once the path is back.
        """
        return {
            address
            for address, peer in self._peers.items()
            if peer.message is None
            or peer.message.failure_domain == self._failure_domain
        }

    async def _send_to_other_domains(self):
        """Send to hosts of other failure domains.

        If each host sent to each other one once a second, traffic would grow with the
        square of their number: 99 hosts would send 3 MB a second across domains, three
        quarters of all bytes there.  So the first host of a domain sends the sum of its
        domain to one host of each other domain, which forwards it.  The others only
        send a message now and then to stay known.
        """
        is_first = self.is_first_of_domain()
        if is_first:
            domain_sum = self._with_domain_sums(self.describe())
            await self._send_to(self._representatives(), domain_sum)
        if not self._far_deadline.passed():
            return
        # A host that has just started must become known soon, so it does not wait yet.
        if self._settle_deadline.passed():
            wait_s = self._settings.far_interval_s
            self._far_deadline = Deadline.after(self._clock, wait_s)
        if not is_first:
            near = {message.sender for message in self._summary().near_messages}
            await self._send_to({*self._peers, *self._first_peers} - near)

    def _representatives(self):
        """Return the hosts to send sums to: one of each other failure domain.

        These are the hosts that sent the newest sum of their domain, all hosts of a
        domain from which no sum has come lately, and hosts that have sent nothing yet.
        """
        sums = self._summary().domain_sums
        return {
            address
            for address, peer in self._peers.items()
            if peer.message is None
            or (
                peer.message.failure_domain != self._failure_domain
                and sums.get(peer.message.failure_domain, peer) is peer
            )
        }

    async def _forward_sum(self, message, data, source):
        """Forward the sum of another failure domain to the hosts of the own one.

        Forward it only if it came directly from its sender: two hosts that both act as
        the first of their domain would otherwise send it to and fro endlessly.
        """
        is_direct = source == (message.sender.host, message.sender.port)
        is_far = message.failure_domain != self._failure_domain
        if not (message.state.is_domain_sum and is_far and is_direct):
            return
        if self.is_first_of_domain():
            await self._send_data(
                [one.sender for one in self._summary().near_messages], data
            )

    async def _send_to(self, addresses, state=None):
        state = self.describe() if state is None else state
        data = PeerMessage(
            self._address,
            self._failure_domain,
            state,
            self._sample_peers(),
            self.link_mbps,
            self._outgoing_suspects,
            self.roster_count() if self.sends_roster else 0,
        ).encode(self._settings.size_limit_bytes)
        if state.table_reading is not None:
            wait_s = self._settings.reading_interval_s
            self._reading_deadline = Deadline.after(self._clock, wait_s)
        await self._send_data(addresses, data)

    async def _send_data(self, addresses, data):
        for address in addresses:
            try:
                await self._socket.sendto(data, (address.host, address.port))
            except OSError as error:
                _logger.event(
                    "peer message not sent", peer=str(address), reason=str(error)
                )

    def _sample_peers(self):
        """Return a sample of the peers, which bounds the size of a message."""
        contacted = [address for address, one in self._peers.items() if one.message]
        count = min(len(contacted), self._settings.peers_told_count)
        return self._random.sample(contacted, count)
