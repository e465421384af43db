"""State of the other entry hosts, by their messages."""

import hashlib

from siskinthread.observability import part_logger
from siskinthread.peer_news._summary import PeersSummary
from siskinthread.settings import Address
from siskinthread.timing import Deadline

_logger = part_logger("peer_news")


class _Peer:
    """Last message of one peer, and the deadlines until which its parts count."""

    __slots__ = (
        "forget_deadline",
        "loads_deadline",
        "message",
        "received_at_s",
        "version_deadline",
    )

    def __init__(self, forget_deadline):
        self.message = None
        self.received_at_s = None
        self.version_deadline = None
        self.loads_deadline = None
        self.forget_deadline = forget_deadline


def _rendezvous_key(name, address):
    return hashlib.blake2b(f"{name} {address}".encode(), digest_size=8).digest()


class PeerView:
    """State of the other entry hosts as this process knows it.

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

    Attributes
    ----------
    describe : callable or None
        Returns this process's `HostState`.
    link_mbps : float
        Rate of this host's link that is sent to peers, Mbit/s; 0 if it is not known.
    sends_roster : bool
        Whether peers are sent the number of hosts that this process has ever heard of.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_domains_received_at_s",
        "_failure_domain",
        "_first_peers",
        "_senders",
        "_is_roster_known",
        "_cached_summary",
        "_max_peer_count",
        "_peers",
        "_roster",
        "_settings",
        "_roster_deadline",
        "_settle_deadline",
        "_reported_roster_count",
        "_cached_interval_s",
        "describe",
        "link_mbps",
        "sends_roster",
    )

    def __init__(self, settings, address, failure_domain, first_peers, clock):
        self._settings = settings
        self._address = address
        self._first_peers = [one for one in first_peers if one != address]
        self._failure_domain = failure_domain
        self._clock = clock
        self._peers = {}
        # When some host of each failure domain last sent a message, monotonic seconds.
        self._domains_received_at_s = {}
        self._cached_summary = None
        # Interval between two messages of near peers; computed anew when it may have
        # changed.
        self._cached_interval_s = None
        self._max_peer_count = 0
        # All hosts of which this process has ever heard, itself included.
        self._roster = {address}
        # Hosts of the roster that have sent a message to this process.
        self._senders = set()
        self._reported_roster_count = 0
        self._is_roster_known = False
        self._roster_deadline = Deadline.after(clock, settings.roster_wait_s)
        self._settle_deadline = Deadline.after(clock, settings.fleet_settle_s)
        self.describe = None
        self.link_mbps = 0.0
        self.sends_roster = False

    @property
    def own_domain(self):
        """Failure domain of this process."""
        return self._failure_domain

    def domain_of(self, sender):
        """Return the failure domain of a peer by its address as text, or None."""
        peer = self._peers.get(Address.parse(sender))
        return (
            None
            if peer is None or peer.message is None
            else peer.message.failure_domain
        )

    def counts(self, instance_id):
        """Return the number of peers' requests at a target, by their last messages."""
        return self._summary().counts.get(instance_id, 0)

    def excess_tokens(self):
        """Return the tokens of peers' requests beyond the usual size, by target."""
        return self._summary().excess_tokens

    def speeds(self):
        """Return the `SpeedStatement` by target, of the requests of all peers."""
        return self._summary().speeds.at(self._clock.monotonic_s())

    def account_counts(self):
        """Return the requests of peers by client account, by their last messages."""
        return self._summary().account_counts

    def has_fresh_loads(self):
        """Return whether the loads of all peers are fresh.

        With so many peers that each sends less often than its loads count, the fresh
        loads are a part of all loads only.
        """
        if self.send_interval_s() > self._settings.fresh_limit_s:
            return False
        return bool(self._summary().version_messages)

    def is_crowded(self):
        """Return whether there are too many peers to send to all at full rate."""
        return len(self._peers) > self._settings.peers_at_full_rate

    def full_rate_peer_count(self):
        """Return the number of peers whose loads come at full rate."""
        if self.is_crowded():
            return len(self._summary().near_messages)
        return len(self._peers)

    def fleet_count(self):
        """Return the largest number of entries known at once, this one included.

        Returns
        -------
        int or None
            None while there may be more entries than are known: the settings name some,
            and none has sent a message, or this process has just started.
        """
        is_known = self._max_peer_count and self._settle_deadline.passed()
        if self._first_peers and not is_known:
            return None
        return 1 + self._max_peer_count

    def send_interval_s(self):
        """Return the interval between messages of a near peer with changing loads."""
        settings = self._settings
        crowd = max(1.0, self.full_rate_peer_count() / settings.peers_at_full_rate)
        return settings.interval_s * crowd

    def stalled_groups(self):
        """Return the groups of targets that make no progress, as peers report."""
        return self._summary().stalled_groups

    def slow_targets(self):
        """Return the targets that slow others down, as peers report."""
        return self._summary().slow_targets

    def asked_per_s(self, service_name):
        """Return the requests a second that callers send to peers.

        Peers report it for services of which some target has a limit.
        """
        return self._summary().asked_rates.get(service_name, 0.0)

    def silent_asked_per_s(self, service_name):
        """Return the last demand, in requests a second, of silent failure domains.

        It counts until their hosts are forgotten, as they may be cut off from this host
        and not from the targets.
        """
        return self._summary().silent_asked_rates.get(service_name, 0.0)

    def has_peers(self):
        """Return whether any other host is known."""
        return bool(self._peers)

    def rendezvous_position(self, name):
        """Return the position of this host in the rendezvous order of the known hosts.

        All hosts compute the same order for a name, as far as they know the same hosts.
        """
        own = _rendezvous_key(name, self._address)
        return sum(_rendezvous_key(name, address) < own for address in self._peers)

    def roster_count(self):
        """Return the number of hosts of which this one has ever heard, itself included.

        It never falls, so that a host that is cut off does not claim the others'
        shares.
        """
        return len(self._roster)

    def is_roster_known(self):
        """Return whether this host and all others have heard of each other.

        A host that starts during a cut is known to its own side only; its peers report
        that there are more hosts.  Once the result is True, it stays so.
        """
        if not self._is_roster_known and self.fleet_count() is not None:
            most = max(self._reported_roster_count, len(self._roster))
            is_complete = 1 + len(self._senders) >= most
            self._is_roster_known = is_complete or self._roster_deadline.passed()
        return self._is_roster_known

    def roster_position(self, name):
        """Return the position of this host in the rendezvous order of the roster."""
        own = _rendezvous_key(name, self._address)
        return sum(_rendezvous_key(name, address) < own for address in self._roster)

    def newest_pass(self, group):
        """Return the newest pass time of a group that a peer reports, or None.

        Returns
        -------
        tuple of float, float
            Duration of the pass, seconds, and time of receipt, monotonic seconds.
        """
        oldest_s = self._clock.monotonic_s() - self._settings.pass_fresh_s
        reported = [
            (peer.received_at_s, peer.message.state.passes_s[group])
            for peer in self._peers.values()
            if peer.message is not None
            and peer.received_at_s > oldest_s
            and group in peer.message.state.passes_s
        ]
        if not reported:
            return None
        received_at_s, pass_s = max(reported)
        return pass_s, received_at_s

    def newest_version(self):
        """Return the highest configuration version that a peer reports."""
        versions = [
            message.state.table_version for message in self._summary().version_messages
        ]
        return max(versions, default=0)

    def informed_peers(self):
        """Return the addresses of informed peers, newest configuration first.

        At equal versions, hosts of the own failure domain come first.
        """
        return self._newest_first(
            one for one in self._summary().version_messages if one.state.is_informed
        )

    def serving_peers(self):
        """Return the addresses of peers that have a configuration, newest first.

        These peers may be cut off from its source themselves.
        """
        return self._newest_first(
            one for one in self._summary().version_messages if one.state.table_version
        )

    def is_reader(self):
        """Return whether this process reads the target list for its failure domain.

        The reader is the informed host with the lowest address.  While hosts come and
        go, there may be two readers or none; a host that learns of no read reads
        itself.
        """
        return self.reader_address() is None

    def is_first_of_domain(self):
        """Return whether this host has the lowest address of its failure domain."""
        return not any(
            str(message.sender) < str(self._address)
            for message in self._summary().near_messages
        )

    def reader_address(self):
        """Return the address of the host that reads for the own domain.

        Returns
        -------
        siskinthread.settings.Address or None
            None if it is this process.
        """
        earlier = [
            message.sender
            for message in self._summary().near_messages
            if message.state.is_informed and str(message.sender) < str(self._address)
        ]
        return min(earlier, key=str, default=None)

    def is_first_reader(self):
        """Return whether no informed far host has a lower address than this host.

        The readers of all other failure domains wait for a read of the first one.
        """
        return not any(
            message.state.is_informed
            and message.failure_domain != self._failure_domain
            and str(message.sender) < str(self._address)
            for message in self._summary().version_messages
        )

    def far_readers(self):
        """Return the addresses of the readers of other failure domains."""
        readers = {}
        for message in self._summary().version_messages:
            domain = message.failure_domain
            if not message.state.is_informed or domain == self._failure_domain:
                continue
            if domain not in readers or str(message.sender) < str(readers[domain]):
                readers[domain] = message.sender
        return list(readers.values())

    def is_table_reader(self, count):
        """Return whether this process reads the configuration for its failure domain.

        The informed hosts with the lowest addresses are readers.  While hosts come and
        go, there may be more or fewer of them for a moment; a host that learns of no
        reading reads itself.

        Parameters
        ----------
        count : int
            How many hosts of a failure domain read.
        """
        own = str(self._address)
        return (
            sum(
                message.state.is_informed and str(message.sender) < own
                for message in self._summary().near_messages
            )
            < count
        )

    def near_count(self):
        """Return the number of other hosts of the own failure domain."""
        return len(self._summary().near_messages)

    def reachable_domains(self):
        """Return the failure domains of which some host has sent a message lately.

        Where there are many hosts, each other domain sends one datagram a second, which
        may be lost.  With a limit of 1.5 s, its groups were controlled from two domains
        at once, twice within 3 s, and three of eight map changes did not begin.
        """
        oldest_s = self._clock.monotonic_s() - self._settings.domain_memory_s
        return {
            domain
            for domain, received_at_s in self._domains_received_at_s.items()
            if received_at_s >= oldest_s
        }

    def is_preferred_host(self, count):
        """Return whether this process is a preferred host of its failure domain.

        Informed hosts come before all others, and within each kind the hosts with the
        fastest links come first.  Each process decides by the messages that it has
        received, so that for a moment there may be more of these hosts, or fewer.
        """
        own = (-self.link_mbps, str(self._address))
        is_informed = self.describe is None or self.describe().is_informed
        better = [
            message
            for message in self._summary().near_messages
            if (message.state.is_informed or not is_informed)
            and (-message.link_mbps, str(message.sender)) < own
        ]
        return len(better) < count

    def is_heir_of(self, group, count):
        """Return whether this process should control a group until its share passes on.

        That is so if the group's controller in the own failure domain has fallen
        silent, no other host controls the group, and this host comes first in the
        rendezvous order of the preferred hosts.  Without this, a group whose controller
        was killed has none for up to 4 s: shares lapse after 3 s, and are renewed once
        a second.

        Parameters
        ----------
        group : str
            The group.
        count : int
            How many hosts of a failure domain control groups.
        """
        near = self._summary().near_messages
        if any(group in message.state.controlled_groups for message in near):
            return False
        if not any(
            self._is_silent_controller(one, group) for one in self._peers.values()
        ):
            return False
        is_informed = self.describe is None or self.describe().is_informed
        hosts = [
            (not message.state.is_informed, -message.link_mbps, str(message.sender))
            for message in near
        ]
        hosts.append((not is_informed, -self.link_mbps, str(self._address)))
        first = [address for _, _, address in sorted(hosts)[:count]]
        return min(first, key=lambda one: _rendezvous_key(group, one)) == str(
            self._address
        )

    def _is_silent_controller(self, peer, group):
        return (
            peer.message is not None
            and peer.version_deadline.passed()
            and peer.message.failure_domain == self._failure_domain
            and group in peer.message.state.controlled_groups
        )

    def state_of(self, address):
        """Return the last `HostState` of a peer, or None."""
        peer = self._peers.get(address)
        return None if peer is None or peer.message is None else peer.message.state

    def _receive(self, message):
        settings = self._settings
        peer = self._peers.get(message.sender)
        if peer is None:
            peer = self._add(message.sender)
        if self._cached_interval_s is None:
            self._cached_interval_s = self.send_interval_s()
        peer.message = message
        self._senders.add(message.sender)
        self._reported_roster_count = max(
            self._reported_roster_count, message.roster_count
        )
        peer.received_at_s = self._clock.monotonic_s()
        self._domains_received_at_s[message.failure_domain] = peer.received_at_s
        peer.loads_deadline = Deadline.after(self._clock, settings.fresh_limit_s)
        expected_s = settings.quiet_interval_s + self._cached_interval_s
        peer.version_deadline = Deadline.after(
            self._clock, max(settings.fresh_limit_s, expected_s)
        )
        self._cached_summary = None
        peer.forget_deadline = Deadline.after(self._clock, settings.forget_after_s)
        for address in message.peers:
            if address not in self._peers and address != self._address:
                self._add(address)

    def _add(self, address):
        forget_deadline = Deadline.after(self._clock, self._settings.forget_after_s)
        peer = self._peers[address] = _Peer(forget_deadline)
        self._cached_interval_s = None
        self._max_peer_count = max(self._max_peer_count, len(self._peers))
        self._roster.add(address)
        _logger.event("peer known", peer=str(address))
        return peer

    def _forget_silent_peers(self):
        for address in [
            one for one, peer in self._peers.items() if peer.forget_deadline.passed()
        ]:
            del self._peers[address]
            self._cached_summary = None
            self._cached_interval_s = None
            _logger.event("peer forgotten", peer=str(address))

    def _summary(self):
        """Return the `PeersSummary` of this moment."""
        summary = self._cached_summary
        if summary is None or self._clock.monotonic_s() >= summary.valid_until_s:
            summary = PeersSummary(self._peers.values(), self._failure_domain)
            self._cached_summary = summary
        return summary

    def _newest_first(self, messages):
        """Return the senders of messages, the newest configuration first."""
        ranked = sorted(
            messages,
            key=lambda message: (
                -message.state.table_version,
                message.failure_domain != self._failure_domain,
            ),
        )
        return [message.sender for message in ranked]
