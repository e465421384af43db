"""Contents and encoding of a regular gossip datagram."""

import functools
import json
import math

from siskinthread.errors import ProtocolError
from siskinthread.load_control import add_speeds
from siskinthread.peer_news._evacuations import EvacuationStatement
from siskinthread.peer_news._outages import decode_outages, encode_outages
from siskinthread.peer_news._speeds import decode_speeds, encode_speeds
from siskinthread.peer_news._table_reading import TableReading
from siskinthread.poison_requests import SuspectStatement
from siskinthread.settings import Address
from siskinthread.source_eras import Position
from siskinthread.target_limits import (
    BackoffStatement,
    ColdStatement,
    LimitStatement,
)

MILLISECONDS_PER_SECOND = 1000
# Addresses whose parsed form is cached; above the number of hosts of a large fleet.
ADDRESS_CACHE_SIZE = 1024
# Limit of slow targets in a datagram: some 1 KB of its 8 KB.
SLOW_LIMIT = 64
# Limit of cold targets, and of failed ones, in the sum of a failure domain.
COLD_LIMIT = 32
# Limit of controlled groups in a datagram: some 0.5 KB.
CONTROLLED_LIMIT = 32


class ListStatement:
    """Progress of a host's own reading of the target list.

    Parameters
    ----------
    position : siskinthread.source_eras.Position
        Position in the list's source up to which it has read.
    digest : int
        Digest of the list there; equal lists have equal digests.
    age_s : float
        Time since that read began, seconds.
    """

    __slots__ = ("age_s", "digest", "position")

    def __init__(self, position, digest, age_s):
        self.position = position
        self.digest = digest
        self.age_s = age_s


class LeavingStatement:
    """A target that has announced that it leaves.

    Parameters
    ----------
    instance_id : str
        The target.
    age_s : float
        Time since the answer with the announcement, seconds.
    """

    __slots__ = ("age_s", "instance_id")

    def __init__(self, instance_id, age_s):
        self.instance_id = instance_id
        self.age_s = age_s


class HostState:
    """State of one entry host, as it is sent to peers.

    Parameters
    ----------
    table_version : int
        Version of the configuration in force there; 0 without one.
    is_informed : bool
        Whether it reads the configuration and the targets itself and is up to date.
    counts : dict of str to int
        Its own requests by target.
    listing : ListStatement or None
        Its last read of the target list, if any.
    stalled_groups : list of str
        Groups of targets in which its streams receive no events.
    passes_s : dict of str to float
        Duration of the last pass of each group in which it has streams, seconds.
    account_counts : dict of str to int
        Its own requests by client account.
    is_domain_sum : bool
        Whether counts, groups and slow targets are those of all hosts of its failure
        domain.
    slow_targets : list of str
        Targets that slow others down, as far as it has observed that itself.
    limits : list of siskinthread.target_limits.LimitStatement
        Limits that targets have stated.
    asked_rates : dict of str to float
        Requests a second that callers send it, by service that has a limit.
    backoffs : list of siskinthread.target_limits.BackoffStatement
        Back-offs that targets have requested of it.
    leaving : list of LeavingStatement
        Targets that have announced lately that they leave.
    group_outages : list of GroupOutageStatement
        Groups that it has found broken, or open again lately.
    evacuations : EvacuationStatement or None
        Failure domains that are evacuated, as far as the host knows.
    cold : list of siskinthread.target_limits.ColdStatement
        Targets that have reported to it that they are cold, and targets whose requests
        from it have failed lately.
    controlled_groups : list of str
        Groups whose maps it controls.
    excess_tokens : dict of str to int
        By target, tokens of its requests beyond the usual size of as many requests.
    speeds : dict of str to siskinthread.load_control.SpeedStatement
        By target, times of its requests where they are not usual.
    table_reading : TableReading or None
        Its progress in the configuration, if it reads for its failure domain.
    """

    __slots__ = (
        "account_counts",
        "asked_rates",
        "cold",
        "controlled_groups",
        "counts",
        "group_outages",
        "evacuations",
        "excess_tokens",
        "is_domain_sum",
        "is_informed",
        "leaving",
        "limits",
        "listing",
        "passes_s",
        "backoffs",
        "slow_targets",
        "speeds",
        "stalled_groups",
        "table_reading",
        "table_version",
    )

    def __init__(
        self,
        table_version,
        is_informed,
        counts,
        listing=None,
        stalled_groups=(),
        passes_s=None,
        account_counts=None,
        is_domain_sum=False,
        slow_targets=(),
        limits=(),
        asked_rates=None,
        backoffs=(),
        leaving=(),
        group_outages=(),
        evacuations=None,
        cold=(),
        controlled_groups=(),
        excess_tokens=None,
        speeds=None,
        table_reading=None,
    ):
        self.speeds = {} if speeds is None else speeds
        self.table_reading = table_reading
        self.excess_tokens = {} if excess_tokens is None else excess_tokens
        self.controlled_groups = list(controlled_groups)
        self.group_outages = list(group_outages)
        self.evacuations = evacuations
        self.cold = list(cold)
        self.backoffs = list(backoffs)
        self.leaving = list(leaving)
        self.slow_targets = list(slow_targets)
        self.limits = list(limits)
        self.asked_rates = {} if asked_rates is None else asked_rates
        self.table_version = table_version
        self.is_informed = is_informed
        self.counts = counts
        self.listing = listing
        self.stalled_groups = list(stalled_groups)
        self.passes_s = {} if passes_s is None else passes_s
        self.account_counts = {} if account_counts is None else account_counts
        self.is_domain_sum = is_domain_sum

    def with_domain_sums(self, near, cold=()):
        """Return this state plus the sums of the other hosts of its failure domain.

        Parameters
        ----------
        near : NearSums
            Sums of the other hosts.
        cold : list of siskinthread.target_limits.ColdStatement
            Cold targets that they reported, with times as of now.
        """
        counts, account_counts = dict(self.counts), dict(self.account_counts)
        asked_rates = dict(self.asked_rates)
        excess_tokens = dict(self.excess_tokens)
        add_counts(excess_tokens, near.excess_tokens)
        speeds = dict(self.speeds)
        add_speeds(speeds, near.speeds)
        add_counts(counts, near.counts)
        add_counts(account_counts, near.account_counts)
        add_counts(asked_rates, near.asked_rates)
        return HostState(
            self.table_version,
            self.is_informed,
            counts,
            self.listing,
            sorted({*self.stalled_groups, *near.stalled_groups}),
            self.passes_s,
            account_counts,
            is_domain_sum=True,
            slow_targets=sorted({*self.slow_targets, *near.slow_targets}),
            limits=self.limits,
            asked_rates=asked_rates,
            backoffs=self.backoffs,
            leaving=self.leaving,
            group_outages=self.group_outages,
            evacuations=self.evacuations,
            cold=_longest_lasting([*self.cold, *cold]),
            controlled_groups=self.controlled_groups,
            excess_tokens=excess_tokens,
            speeds=speeds,
        )

    def urgent_keys(self):
        """Return what must reach all failure domains at once, without times."""
        return _evacuation_keys(self), _keys(self.cold)

    def is_equivalent_to(self, other):
        """Return whether this state holds nothing that another state does not."""
        return (
            other is not None
            and self.table_version == other.table_version
            and self.is_informed == other.is_informed
            and self.counts == other.counts
            and self.stalled_groups == other.stalled_groups
            and self.slow_targets == other.slow_targets
            and self.passes_s == other.passes_s
            and self.excess_tokens == other.excess_tokens
            and self.speeds.keys() == other.speeds.keys()
            and self.asked_rates == other.asked_rates
            and len(self.limits) == len(other.limits)
            and _ids(self.backoffs) == _ids(other.backoffs)
            and _ids(self.leaving) == _ids(other.leaving)
            and _keys(self.group_outages) == _keys(other.group_outages)
            and self.urgent_keys() == other.urgent_keys()
            and self.controlled_groups == other.controlled_groups
        )


def _ids(statements):
    return {one.instance_id for one in statements}


def _keys(statements):
    return {one.key() for one in statements}


def _longest_lasting(statements):
    """Return one `ColdStatement` by target and kind, the longest-lasting ones first."""
    cold, failed = {}, {}
    for one in statements:
        if one.failed_age_s is None:
            known = cold.setdefault(one.instance_id, one)
            if one.left_s > known.left_s:
                cold[one.instance_id] = one
        else:
            known = failed.setdefault(one.instance_id, one)
            if one.failed_age_s < known.failed_age_s:
                failed[one.instance_id] = one
    by_left = sorted(cold.values(), key=lambda one: -one.left_s)
    by_age = sorted(failed.values(), key=lambda one: one.failed_age_s)
    return by_left[:COLD_LIMIT] + by_age[:COLD_LIMIT]


def _evacuation_keys(state):
    return None if state.evacuations is None else state.evacuations.names()


def add_counts(sums, counts):
    """Add counts by name to sums by name, in place."""
    for name, count in counts.items():
        sums[name] = sums.get(name, 0) + count


class PeerMessage:
    """Regular message of an entry host to its peers.

    It is encoded as JSON rather than in the frames of `siskinthread.wire`: those
    classes would add 1.6 MB of peak resident memory to a process that uses nothing else
    of them.

    Parameters
    ----------
    sender : siskinthread.settings.Address
        UDP address on which the sender receives messages.
    failure_domain : str
        Failure domain of the sender.
    state : HostState
        State of the sender.
    peers : list of siskinthread.settings.Address
        Some other entry hosts that the sender knows.
    link_mbps : float
        Rate of the sender's link, Mbit/s; 0 if it is not known.
    suspects : list of siskinthread.poison_requests.SuspectStatement
        Requests under which targets have ended.
    roster_count : int
        Number of hosts from or of which the sender has ever heard, itself included; 0
        if it is not sent.
    """

    __slots__ = (
        "failure_domain",
        "link_mbps",
        "peers",
        "roster_count",
        "sender",
        "state",
        "suspects",
    )

    def __init__(
        self,
        sender,
        failure_domain,
        state,
        peers,
        link_mbps=0.0,
        suspects=(),
        roster_count=0,
    ):
        self.roster_count = roster_count
        self.link_mbps = link_mbps
        self.suspects = list(suspects)
        self.sender = sender
        self.failure_domain = failure_domain
        self.state = state
        self.peers = peers

    def encode(self, limit_bytes=math.inf):
        """Return the datagram.

        Parameters
        ----------
        limit_bytes : float
            Largest size.  To fit, the last suspected requests are left out first, then
            tokens, speeds, limits of targets, back-offs, leaving targets and cold
            targets, as a truncated datagram can't be decoded at all.
        """
        state = self.state
        optional = [
            self.suspects,
            list(state.excess_tokens.items()),
            list(encode_speeds(state.speeds).items()),
            state.limits,
            state.backoffs,
            state.leaving,
            state.cold,
        ]
        data = self._encode_with(*optional)
        while len(data) > limit_bytes and any(optional):
            number = next(i for i, part in enumerate(optional) if part)
            optional[number] = optional[number][: len(optional[number]) // 2]
            data = self._encode_with(*optional)
        return data

    def _encode_with(self, suspects, excess, speeds, limits, backoffs, leaving, cold):
        state = self.state
        document = {
            "sender": str(self.sender),
            "domain": self.failure_domain,
            "version": state.table_version,
            "informed": state.is_informed,
            "counts": state.counts,
            "peers": [str(peer) for peer in self.peers],
            "link": self.link_mbps,
        }
        if self.roster_count:
            document["roster"] = self.roster_count
        if state.stalled_groups:
            document["stalled"] = state.stalled_groups
        if state.slow_targets:
            document["slow"] = state.slow_targets[:SLOW_LIMIT]
        if state.passes_s:
            document["passes_ms"] = {
                group: round(pass_s * MILLISECONDS_PER_SECOND)
                for group, pass_s in state.passes_s.items()
            }
        if limits:
            document["limits"] = [_encode_limit(one) for one in limits]
        if state.asked_rates:
            document["asked"] = state.asked_rates
        if backoffs:
            document["backoffs_ms"] = {
                one.instance_id: round(one.left_s * MILLISECONDS_PER_SECOND)
                for one in backoffs
            }
        if leaving:
            document["leaving_ms"] = {
                one.instance_id: round(one.age_s * MILLISECONDS_PER_SECOND)
                for one in leaving
            }
        if state.group_outages:
            document["group_outages"] = encode_outages(state.group_outages)
        if state.evacuations is not None:
            document["evacuations"] = state.evacuations.as_document()
        stated = [one for one in cold if one.failed_age_s is None]
        if stated:
            document["cold_ms"] = {
                one.instance_id: round(one.left_s * MILLISECONDS_PER_SECOND)
                for one in stated
            }
        failed = [one for one in cold if one.failed_age_s is not None]
        if failed:
            document["failed_ms"] = {
                one.instance_id: round(one.failed_age_s * MILLISECONDS_PER_SECOND)
                for one in failed
            }
        if state.controlled_groups:
            document["controls"] = state.controlled_groups[:CONTROLLED_LIMIT]
        if excess:
            document["excess"] = dict(excess)
        if speeds:
            document["speeds"] = dict(speeds)
        if state.table_reading is not None:
            document["table"] = state.table_reading.as_row()
        if state.is_domain_sum:
            document["sum"] = True
        if state.account_counts:
            document["accounts"] = state.account_counts
        if state.listing is not None:
            document["listing"] = _encode_listing(state.listing)
            document["era"] = state.listing.position.era
        if suspects:
            document["suspects"] = {one.fingerprint: one.as_rows() for one in suspects}
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data):
        """Return the message of a datagram.

        Raises
        ------
        ProtocolError
            If it is unreadable.
        """
        try:
            document = json.loads(data)
            state = HostState(
                int(document["version"]),
                bool(document["informed"]),
                {str(one): int(n) for one, n in document["counts"].items()},
                _decode_listing(document.get("listing"), document.get("era")),
                [str(group) for group in document.get("stalled", ())],
                _decode_passes(document.get("passes_ms", {})),
                {str(one): int(n) for one, n in document.get("accounts", {}).items()},
                bool(document.get("sum", False)),
                [str(target) for target in document.get("slow", ())],
                [_decode_limit(row) for row in document.get("limits", ())],
                _decode_rates(document.get("asked", {})),
                _decode_times(document.get("backoffs_ms", {}), BackoffStatement),
                _decode_times(document.get("leaving_ms", {}), LeavingStatement),
                decode_outages(document.get("group_outages", ())),
                _decode_evacuations(document.get("evacuations")),
                [
                    *_decode_times(document.get("cold_ms", {}), ColdStatement),
                    *_decode_times(document.get("failed_ms", {}), _failed_statement),
                ],
                [str(group) for group in document.get("controls", ())],
                {str(one): int(n) for one, n in document.get("excess", {}).items()},
                decode_speeds(document.get("speeds", {})),
                _decode_reading(document.get("table")),
            )
            return cls(
                _parse_address(document["sender"]),
                str(document["domain"]),
                state,
                [_parse_address(peer) for peer in document["peers"]],
                float(document.get("link", 0.0)),
                _decode_suspects(document.get("suspects", {})),
                int(document.get("roster", 0)),
            )
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
            RecursionError,
        ) as error:
            raise ProtocolError(f"unreadable peer message: {error!r}") from error


@functools.lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _parse_address(text):
    """Return an `Address`; cached, as each address comes many times a second."""
    return Address.parse(text)


def _decode_passes(passes_ms):
    return {
        str(group): max(0, int(pass_ms)) / MILLISECONDS_PER_SECOND
        for group, pass_ms in passes_ms.items()
    }


def _decode_suspects(suspects):
    return [
        SuspectStatement.from_rows(fingerprint, rows)
        for fingerprint, rows in suspects.items()
    ]


def _encode_limit(limit):
    age_ms = round(limit.age_s * MILLISECONDS_PER_SECOND)
    return [limit.instance_id, limit.service_name, limit.rate_per_s, age_ms]


def _decode_limit(row):
    instance_id, service_name, rate_per_s, age_ms = row
    return LimitStatement(
        str(instance_id),
        str(service_name),
        None if rate_per_s is None else _decode_rate(rate_per_s),
        max(0, int(age_ms)) / MILLISECONDS_PER_SECOND,
    )


def _decode_reading(row):
    return None if row is None else TableReading.from_row(row)


def _decode_evacuations(document):
    return None if document is None else EvacuationStatement.from_document(document)


def _decode_times(times_ms, build):
    return [
        build(str(instance_id), max(0, int(time_ms)) / MILLISECONDS_PER_SECOND)
        for instance_id, time_ms in times_ms.items()
    ]


def _failed_statement(instance_id, age_s):
    return ColdStatement(instance_id, 0.0, age_s)


def _decode_rates(rates):
    return {str(name): _decode_rate(rate) for name, rate in rates.items()}


def _decode_rate(value):
    rate_per_s = float(value)
    if not math.isfinite(rate_per_s) or rate_per_s < 0:
        raise ValueError(f"rate {value} is negative or not finite")
    return rate_per_s


def _encode_listing(listing):
    # Rounded up, so that a statement does not become younger when it is forwarded
    # several times.
    age_ms = math.ceil(listing.age_s * MILLISECONDS_PER_SECOND)
    return [listing.position.offset, listing.digest, age_ms]


def _decode_listing(row, era):
    if row is None:
        return None
    offset, digest, age_ms = row
    position = Position(None if era is None else int(era), int(offset))
    return ListStatement(
        position, int(digest), max(0, int(age_ms)) / MILLISECONDS_PER_SECOND
    )
