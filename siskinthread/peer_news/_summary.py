"""Sums over the messages of all peers at a moment."""

import math

from siskinthread.load_control import add_speeds
from siskinthread.peer_news._message import add_counts
from siskinthread.peer_news._speeds import ReceivedSpeeds
from siskinthread.target_limits import ColdStatement


class NearSums:
    """Sums of the other hosts of the own failure domain, to be sent to other domains.

    They are kept apart from the sums of all peers, as a far peer must not get back what
    it has reported itself.

    Attributes
    ----------
    counts : dict of str to int
        Requests by target.
    account_counts : dict of str to int
        Requests by client account.
    stalled_groups : set of str
        Groups that make no progress.
    slow_targets : set of str
        Targets that slow others down.
    asked_rates : dict of str to float
        Requests a second that callers send, by service.
    excess_tokens : dict of str to int
        Tokens of requests beyond the usual size, by target.
    speeds : dict of str to siskinthread.load_control.SpeedStatement
        Times of requests by target, as they were received.
    cold_until_s : dict of str to float
        Until when targets are cold by their own report, monotonic seconds.
    failed_at_s : dict of str to float
        When targets that may be cold failed, monotonic seconds.
    """

    __slots__ = (
        "account_counts",
        "asked_rates",
        "cold_until_s",
        "counts",
        "excess_tokens",
        "failed_at_s",
        "slow_targets",
        "speeds",
        "stalled_groups",
    )

    def __init__(self):
        self.cold_until_s = {}
        self.failed_at_s = {}
        self.counts = {}
        self.account_counts = {}
        self.asked_rates = {}
        self.excess_tokens = {}
        self.speeds = {}
        self.stalled_groups = set()
        self.slow_targets = set()

    def add(self, state):
        """Add the `HostState` of a host."""
        add_counts(self.counts, state.counts)
        add_counts(self.account_counts, state.account_counts)
        add_counts(self.asked_rates, state.asked_rates)
        add_counts(self.excess_tokens, state.excess_tokens)
        add_speeds(self.speeds, state.speeds)
        self.stalled_groups.update(state.stalled_groups)
        self.slow_targets.update(state.slow_targets)

    def cold(self, now_s):
        """Return the `ColdStatement` of each target that still counts.

        Parameters
        ----------
        now_s : float
            Current time, monotonic seconds.
        """
        return [
            ColdStatement(instance_id, end_s - now_s)
            for instance_id, end_s in self.cold_until_s.items()
            if end_s > now_s
        ] + [
            ColdStatement(instance_id, 0.0, now_s - at_s)
            for instance_id, at_s in self.failed_at_s.items()
        ]

    def add_cold(self, statements, received_at_s):
        """Add each `ColdStatement` of a host, received at a monotonic time."""
        for one in statements:
            if one.failed_age_s is None:
                ends_s, at_s = self.cold_until_s, received_at_s + one.left_s
            else:
                ends_s, at_s = self.failed_at_s, received_at_s - one.failed_age_s
            ends_s[one.instance_id] = max(at_s, ends_s.get(one.instance_id, at_s))


class PeersSummary:
    """Sums over all peers whose messages still count.

    Parameters
    ----------
    peers : iterable of object
        Peers with their last message, its time of receipt, and the deadlines until
        which its version and its loads count.
    failure_domain : str
        The own failure domain.

    Attributes
    ----------
    version_messages, near_messages : list of PeerMessage
        Messages that count for versions; of these the ones from the own failure domain.
    counts : dict of str to int
        Requests of peers by target.
    account_counts : dict of str to int
        Requests of peers by client account.
    asked_rates : dict of str to float
        Requests a second that callers send to peers, by service that has a limit.
    silent_asked_rates : dict of str to float
        The same of failure domains that have fallen silent, by their last messages.
    excess_tokens : dict of str to int
        Tokens of requests of peers beyond the usual size, by target.
    near : NearSums
        The same of peers of the own failure domain.
    domain_sums : dict of str to object
        The peer that sent the newest sum of each other failure domain.
    stalled_groups : set of str
        Groups that make no progress as peers observe them.
    slow_targets : set of str
        Targets that slow others down as peers observe them.
    speeds : ReceivedSpeeds
        Times of requests by target.
    valid_until_s : float
        When the first of the messages ceases to count, monotonic seconds.

    Notes
    -----
    The choice of a target needs the load of each target.  Summed anew over 98 peers for
    each of 192 targets, a choice takes 45 ms of a core; with one cached sum it takes 3
    ms on the same machine under the same load.
    """

    __slots__ = (
        "account_counts",
        "asked_rates",
        "counts",
        "domain_sums",
        "excess_tokens",
        "version_messages",
        "near",
        "near_messages",
        "silent_asked_rates",
        "slow_targets",
        "speeds",
        "stalled_groups",
        "valid_until_s",
    )

    def __init__(self, peers, failure_domain):
        self.counts = {}
        self.account_counts = {}
        self.asked_rates = {}
        self.silent_asked_rates = {}
        self.excess_tokens = {}
        self.near = NearSums()
        self.speeds = ReceivedSpeeds()
        self.version_messages = []
        self.near_messages = []
        self.domain_sums = {}
        self.stalled_groups = set()
        self.slow_targets = set()
        self.valid_until_s = math.inf
        senders = [peer for peer in peers if peer.message is not None]
        for peer in senders:
            self._add_version(peer, failure_domain)
        self._find_domain_sums(senders, failure_domain)
        for peer in senders:
            self._add_loads(peer, failure_domain)
        self._add_silent_domains(senders)

    def _add_version(self, peer, failure_domain):
        if peer.version_deadline.passed():
            return
        self.valid_until_s = min(self.valid_until_s, peer.version_deadline.at_s)
        self.version_messages.append(peer.message)
        if peer.message.failure_domain == failure_domain:
            self.near_messages.append(peer.message)

    def _find_domain_sums(self, senders, failure_domain):
        """Find the newest sum of each other failure domain."""
        sums = [
            peer
            for peer in senders
            if peer.message.state.is_domain_sum
            and peer.message.failure_domain != failure_domain
            and not peer.loads_deadline.passed()
        ]
        for peer in sorted(sums, key=lambda peer: peer.received_at_s):
            self.domain_sums[peer.message.failure_domain] = peer

    def _add_loads(self, peer, failure_domain):
        if peer.loads_deadline.passed():
            return
        state = peer.message.state
        self.valid_until_s = min(self.valid_until_s, peer.loads_deadline.at_s)
        self.stalled_groups.update(state.stalled_groups)
        self.slow_targets.update(state.slow_targets)
        is_near = peer.message.failure_domain == failure_domain
        if is_near:
            self.near.add(state)
            self.near.add_cold(state.cold, peer.received_at_s)
        elif self.domain_sums.get(peer.message.failure_domain, peer) is not peer:
            # Its requests are included in the sum of its domain.
            return
        self.speeds.add(state.speeds, peer.received_at_s)
        add_counts(self.excess_tokens, state.excess_tokens)
        add_counts(self.asked_rates, state.asked_rates)
        add_counts(self.counts, state.counts)
        add_counts(self.account_counts, state.account_counts)

    def _add_silent_domains(self, senders):
        """Add the last demand of failure domains that have fallen silent as a whole.

        A domain that is cut off from this one still reaches the targets, and its
        callers stay there.  If its last known rates were dropped, each side would use
        all of a limit: with 4 hosts and one domain cut off, a target that accepts 20
        requests a second got 157 in 4 s instead of 125.  A single silent host is taken
        to have ended, since its callers then move to other hosts.  A domain that has
        ended counts until its hosts are forgotten, and less of a limit is used until
        then.
        """
        domains = {}
        for peer in senders:
            domains.setdefault(peer.message.failure_domain, []).append(peer)
        for peers in domains.values():
            last = max(peers, key=lambda peer: peer.received_at_s)
            if not last.loads_deadline.passed():
                continue
            # Peers whose loads still counted when the last message of the domain came.
            counted = [
                one for one in peers if one.loads_deadline.at_s > last.received_at_s
            ]
            sums = [one for one in counted if one.message.state.is_domain_sum]
            if sums:
                counted = [max(sums, key=lambda peer: peer.received_at_s)]
            for peer in counted:
                add_counts(self.silent_asked_rates, peer.message.state.asked_rates)
