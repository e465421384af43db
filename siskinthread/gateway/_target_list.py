"""Known targets, and which of them may get requests."""

from collections import OrderedDict

from siskinthread.gateway._departures import Departures
from siskinthread.gateway._kept_targets import KeptTargets
from siskinthread.gateway._report_order import GONE_LIMIT
from siskinthread.observability import part_logger

# Origins of a change, for the log.
SOURCE = "its source"
GRACE = "the end of its grace"

_logger = part_logger("gateway")


class TargetEntry:
    """One target as the platform lists it.

    Parameters
    ----------
    instance_id : str
        Id of the running instance.  It changes with each start of the target, so that
        no knowledge of one start is applied to the next.
    service_name : str
        Service that the target belongs to.
    host, port : str, int
        IP address and port that the target listens on.
    failure_domain : str
        Failure domain of the target.
    slot_count : int
        Number of requests that the target runs concurrently.
    is_leaving : bool
        Whether the target must get no new requests.
    listed_id : str or None
        Id of the list entry, which may be the instance id of an earlier start; None
        if it is `instance_id`.
    cold_left_s : float
        Remaining cold time after a start, as of the target's report, seconds.
    report_number : int
        Sequence number of the report, counted from the start of the instance.
    started_unix_ms : int or None
        Time of the start, Unix milliseconds; None if it is not stated.

    Attributes
    ----------
    record : object or None
        The same entry in the form of the source, to be served to other hosts.
    """

    __slots__ = (
        "cold_left_s",
        "failure_domain",
        "host",
        "instance_id",
        "is_leaving",
        "listed_id",
        "port",
        "record",
        "report_number",
        "service_name",
        "slot_count",
        "started_unix_ms",
    )

    def __init__(
        self,
        instance_id,
        service_name,
        host,
        port,
        failure_domain,
        slot_count,
        is_leaving,
        listed_id=None,
        cold_left_s=0.0,
        report_number=0,
        started_unix_ms=None,
    ):
        self.instance_id = instance_id
        self.service_name = service_name
        self.host = host
        self.port = port
        self.failure_domain = failure_domain
        self.slot_count = slot_count
        self.is_leaving = is_leaving
        self.listed_id = instance_id if listed_id is None else listed_id
        self.cold_left_s = cold_left_s
        self.report_number = report_number
        self.started_unix_ms = started_unix_ms
        self.record = None


class TargetList:
    """Targets that are considered available.

    Parameters
    ----------
    settings : GatewaySettings
        Grace periods for expired entries.
    clock : siskinthread.timing.Clock
        Clock for grace periods and ages.

    Attributes
    ----------
    evacuated_domains : callable
        Returns the failure domains whose targets must get no requests, a frozenset.

    Notes
    -----
    Entries that vanish around an outage of the source are kept for a grace period; see
    `KeptTargets`.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at_s",
        "_departures",
        "_entries",
        "_gone",
        "_has_first",
        "_kept",
        "_listed",
        "_listeners",
        "_put_listeners",
        "_replaced",
        "_settings",
        "evacuated_domains",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._entries = {}
        # Instance ids by listed id.
        self._listed = {}
        # Targets that vanished from the list but are still available.
        self._kept = KeptTargets(settings, clock)
        self._departures = Departures(settings, clock)
        # Earlier instances of restarted targets; a late report of an earlier start must
        # not displace the present instance.
        self._replaced = set()
        # Removed instances, the most recent last, and whether a peer's list caused the
        # removal; an older copy of the list must not reinstate them.
        self._gone = OrderedDict()
        self._confirmed_at_s = None
        self._listeners = []
        self._put_listeners = []
        # Whether a complete list has been processed.
        self._has_first = False
        self.evacuated_domains = frozenset

    def listen(self, callback):
        """Register a callback for each `TargetEntry` that must get no more requests."""
        self._listeners.append(callback)

    def listen_to_entries(self, callback):
        """Register a callback for each `TargetEntry` that is added or updated.

        Its second argument is whether the target has appeared after the first list.
        """
        self._put_listeners.append(callback)

    def note_confirmed(self, age_s=0.0):
        """Note that the list agreed with the source `age_s` seconds ago."""
        confirmed_at_s = self._clock.monotonic_s() - age_s
        if self._confirmed_at_s is None or confirmed_at_s > self._confirmed_at_s:
            self._confirmed_at_s = confirmed_at_s

    def age_s(self):
        """Return the time since the list was confirmed, seconds; None if never."""
        if self._confirmed_at_s is None:
            return None
        return self._clock.monotonic_s() - self._confirmed_at_s

    def note_failed_call(self, began_at_s):
        """Note a call that the source did not answer."""
        self._kept.note_failed_call(began_at_s)

    def note_outage_end(self):
        """Note that an outage of the source has just ended."""
        self._kept.note_outage_end()

    def put(self, entry, told_by=SOURCE):
        """Add or update an entry.

        Parameters
        ----------
        entry : TargetEntry
            The entry.
        told_by : str
            Origin of the entry, for the log.
        """
        self._kept.discard(entry.instance_id)
        self._add(entry, told_by)

    def _add(self, entry, told_by):
        if entry.instance_id in self._replaced:
            return
        self._note_restart(entry)
        known = self._entries.get(entry.instance_id)
        if entry.instance_id in self._departures:
            return
        if entry.is_leaving:
            self._departures.add(entry.instance_id)
        self._gone.pop(entry.instance_id, None)
        self._entries[entry.instance_id] = entry
        self._listed[entry.listed_id] = entry.instance_id
        for callback in self._put_listeners:
            callback(entry, known is None and self._has_first)
        if known is None:
            _logger.event(
                "target listed",
                target=entry.instance_id,
                service=entry.service_name,
                address=f"{entry.host}:{entry.port}",
                failure_domain=entry.failure_domain,
                leaving=entry.is_leaving,
                report=entry.report_number,
                told_by=told_by,
            )
        if entry.is_leaving and not (known is not None and known.is_leaving):
            _logger.event("target leaves", target=entry.instance_id, told_by=told_by)
            self._notify(entry)

    def note_unlisted(self, listed_id, told_by=SOURCE):
        """Remove an entry that is no longer listed, or keep it around an outage."""
        instance_id = self._listed.get(listed_id)
        entry = self._entries.get(instance_id)
        if entry is None or instance_id in self._kept:
            return
        if not entry.is_leaving and self._kept.covers():
            self._kept.keep(instance_id)
            _logger.event(
                "target lapsed in an outage and is kept",
                target=instance_id,
                kept_s=round(self._kept.left_s(instance_id), 3),
                told_by=told_by,
            )
            return
        self._remove(entry, told_by)

    def replace(
        self, entries, is_authoritative=False, told_by=SOURCE, kept_left_s=None
    ):
        """Apply a complete list; entries that it lacks have vanished.

        Parameters
        ----------
        entries : list of TargetEntry
            The list.
        is_authoritative : bool
            Whether the list comes from a peer that the source answers, so that an
            outage of the path from this process to the source is irrelevant.
        told_by : str
            Origin of the list, for the log.
        kept_left_s : dict of str to float or None
            Listed ids of targets that the sender keeps after they have vanished from
            its list, with the remaining times, seconds.
        """
        kept_left_s = {} if kept_left_s is None else kept_left_s
        present = set()
        left_ids = []
        for entry in entries:
            present.add(entry.instance_id)
            if entry.instance_id in self._departures and not entry.is_leaving:
                left_ids.append(entry.instance_id)
            if entry.listed_id not in kept_left_s:
                self.put(entry, told_by)
                continue
            self._add(entry, told_by)
            if entry.instance_id in self._entries:
                self._kept.keep_as_stated(
                    entry.instance_id, kept_left_s[entry.listed_id]
                )
        if left_ids:
            _logger.event(
                "listed targets have left", targets=sorted(left_ids), told_by=told_by
            )
        for entry in list(self._entries.values()):
            if entry.instance_id in present:
                continue
            if is_authoritative:
                self._remove(entry, told_by, by_peer=True)
            else:
                self.note_unlisted(entry.listed_id, told_by)
        self._has_first = True

    def without_gone(self, entries, kept_ids):
        """Return a peer's targets without those that this process has removed.

        Parameters
        ----------
        entries : list of TargetEntry
            The peer's targets.
        kept_ids : collection of str
            Listed ids of targets that the peer keeps only because they vanished around
            an outage; the peer can't know which of them have left.
        """
        held = [
            one
            for one in entries
            if one.listed_id in kept_ids and one.instance_id in self._gone
        ]
        if held:
            ids = sorted(one.instance_id for one in held)
            _logger.event("removed targets of a peer's list ignored", targets=ids)
        return [one for one in entries if one not in held]

    def kept_ids(self):
        """Return the listed ids of targets that vanished and are kept."""
        return set(self.kept_left_s())

    def kept_left_s(self):
        """Return the remaining times of kept targets by listed id, seconds."""
        self.expire_kept()
        return {
            self._entries[one].listed_id: self._kept.left_s(one)
            for one in self._kept.ids()
        }

    def reconcile(self, entries):
        """Apply the own source's list after lists of peers have been applied.

        Parameters
        ----------
        entries : iterable of TargetEntry
            All entries that the source lists at the position that was read last.
        """
        listed = {entry.instance_id: entry for entry in entries}
        for entry in list(self._entries.values()):
            if entry.instance_id not in listed:
                self.note_unlisted(entry.listed_id)
        for instance_id, entry in listed.items():
            # Targets that this host itself has removed must report again first.
            if instance_id not in self._entries and self._gone.get(instance_id, True):
                self.put(entry)

    def replace_by_older(self, entries):
        """Apply the list of a source that was restored to an older state.

        Parameters
        ----------
        entries : list of TargetEntry
            The list.

        Notes
        -----
        The list lacks targets that were added after the backup; they are kept for a
        grace period to report again.  It includes targets that were removed after the
        backup; they get no requests until they report again.  Otherwise a target could
        get requests long after its departure was acknowledged.
        """
        self.note_outage_end()
        held = [one for one in entries if one.instance_id in self._gone]
        if held:
            ids = sorted(one.instance_id for one in held)
            _logger.event("targets are held against an older list", targets=ids)
        self.replace([one for one in entries if one not in held])

    def note_leaving(self, instance_id, told_by):
        """Note that a target has announced that it leaves.

        Parameters
        ----------
        instance_id : str
            The target.
        told_by : str
            Origin of the announcement, for the log.
        """
        if instance_id in self._departures:
            return
        self._departures.add(instance_id)
        _logger.event("target leaves", target=instance_id, told_by=told_by)
        entry = self._entries.get(instance_id)
        if entry is not None:
            entry.is_leaving = True
            self._notify(entry)

    def note_leaving_answer(self, instance_id):
        """Note that a target has announced in an answer that it leaves."""
        self._departures.note_announced(instance_id)
        self.note_leaving(instance_id, "its answer")

    def note_peer_departures(self, statements, told_by):
        """Note each `LeavingStatement` of a peer."""
        for instance_id in self._departures.take_new(statements):
            self.note_leaving(instance_id, told_by)

    def leaving_statements(self):
        """Return the list of `LeavingStatement` to send to peers."""
        return self._departures.statements()

    def expire_kept(self):
        """Remove kept entries whose deadline has passed."""
        for instance_id in self._kept.expired():
            # The listener of a removal may query the list, which removes others.
            if instance_id in self._kept:
                self._remove(self._entries[instance_id], GRACE)

    def serving(self, service_name):
        """Return the targets of a service that may get requests."""
        evacuated = self.evacuated_domains()
        return [
            entry
            for entry in self._not_leaving(service_name)
            if entry.failure_domain not in evacuated
        ]

    def is_evacuated(self, service_name):
        """Return whether all targets of a service are in evacuated domains.

        False for a service without targets.
        """
        evacuated = self.evacuated_domains()
        domains = {one.failure_domain for one in self._not_leaving(service_name)}
        return bool(domains) and domains <= evacuated

    def has_left(self, instance_id):
        """Return whether a target has announced that it leaves."""
        return instance_id in self._departures

    def is_serving(self, instance_id):
        """Return whether a target is available and has not announced that it leaves."""
        self.expire_kept()
        entry = self._entries.get(instance_id)
        return entry is not None and not entry.is_leaving

    def entries(self):
        """Return all entries."""
        self.expire_kept()
        return list(self._entries.values())

    def _not_leaving(self, service_name):
        self.expire_kept()
        return [
            entry
            for entry in self._entries.values()
            if entry.service_name == service_name and not entry.is_leaving
        ]

    def _note_restart(self, entry):
        """Remove the earlier instance of a target that has restarted."""
        earlier_id = self._listed.get(entry.listed_id, entry.instance_id)
        if earlier_id != entry.instance_id and earlier_id in self._entries:
            _logger.event(
                "target started anew", target=entry.instance_id, earlier=earlier_id
            )
            self._replaced.add(earlier_id)
            self._remove(self._entries[earlier_id], SOURCE)

    def _remove(self, entry, told_by, by_peer=False):
        del self._entries[entry.instance_id]
        self._listed.pop(entry.listed_id, None)
        self._kept.discard(entry.instance_id)
        self._gone[entry.instance_id] = by_peer
        while len(self._gone) > GONE_LIMIT:
            self._gone.popitem(last=False)
        _logger.event(
            "target gone",
            target=entry.instance_id,
            report=entry.report_number,
            told_by=told_by,
        )
        if not entry.is_leaving:
            self._notify(entry)

    def _notify(self, entry):
        for callback in self._listeners:
            callback(entry)
