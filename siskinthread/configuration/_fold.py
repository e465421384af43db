"""The fold: computes the state from the records in log order.

Every node must compute the same state from the same records, so nothing here may depend
on the node, its clock, its program version or the iteration order of a set.
"""

import hashlib

from siskinthread.configuration._consistency import find_inconsistencies
from siskinthread.configuration._homes import next_histories
from siskinthread.configuration._objects import kind_of, KINDS
from siskinthread.configuration._records import (
    content_digest,
    decode_body,
    FIRST_FORMAT,
    FORMAT_VERSION,
    read_change,
    read_floor,
    read_format,
    RecordError,
)
from siskinthread.configuration._state import State
from siskinthread.configuration._verdict import AcceptedId, Status, Verdict
from siskinthread.errors import InvariantError

# An accepted id is dropped only if it is older than the lifetime and not among the
# newest `IDS_KEPT` ids.  With the age alone, a forward jump of the log's clock would
# drop all ids.
ID_LIFETIME_MS = 3 * 24 * 3600 * 1000
IDS_KEPT = 2000
# Hexadecimal digits; kept short because every message between peers contains the chain.
CHAIN_LENGTH = 32
KINDS_OF_HOMES = frozenset({"hosts", "placements", "services"})


class Fold:
    """The state after all records up to an offset.

    Attributes
    ----------
    state : State
        State after the last accepted record.
    applied_offset : int
        Offset of the last folded record, accepted or not; -1 if there is none.
    applied_digest : str or None
        `record_digest` of the record at `applied_offset`; None after restoring a
        snapshot.
    chain : str
        Chained digest of all records since the first.  Two nodes whose chains differ at
        the same offset have read different logs.
    format_floor : int
        Newest record format that is accepted.
    halted_reason : str
        Reason why no further record can be folded; empty unless halted.
    last_author, last_record_id : str
        Author and id of the last accepted record.
    accepted_ids : dict of str to AcceptedId
        Accepted record ids, oldest first.

    Parameters
    ----------
    known_format : int
        Newest record format that this program can read; set by tests of mixed versions.
    """

    __slots__ = (
        "accepted_ids",
        "applied_digest",
        "applied_offset",
        "chain",
        "format_floor",
        "halted_reason",
        "known_format",
        "last_author",
        "last_record_id",
        "state",
    )

    def __init__(self, known_format=FORMAT_VERSION):
        self.known_format = known_format
        self.state = State(-1, [])
        self.applied_offset = -1
        self.applied_digest = None
        self.chain = ""
        self.format_floor = FIRST_FORMAT
        self.halted_reason = ""
        self.last_author = ""
        self.last_record_id = ""
        self.accepted_ids = {}

    def apply(self, record):
        """Fold the next record.

        Parameters
        ----------
        record : siskinthread.shared_services.LogRecord
            The record at ``applied_offset + 1``.

        Returns
        -------
        Verdict or None
            None if the fold is halted, already or by this record; the record isn't
            folded then.

        Raises
        ------
        InvariantError
            If the record isn't the next one.
        """
        if record.offset != self.applied_offset + 1:
            raise InvariantError(
                f"record {record.offset} was folded after {self.applied_offset}"
            )
        if self.halted_reason:
            return None
        verdict = self._evaluate(record)
        if self.halted_reason:
            return None
        self._advance_to(record.offset, record_digest(record))
        return verdict

    def skip(self, offset, digest):
        """Advance past a part of a snapshot whose body a peer omitted.

        Parameters
        ----------
        offset : int
            Offset of the record, ``applied_offset + 1``.
        digest : str
            Its `record_digest`.
        """
        self._advance_to(offset, digest)

    def _advance_to(self, offset, digest):
        self.applied_offset = offset
        self.applied_digest = digest
        self.chain = _extend_chain(self.chain, digest)

    def _evaluate(self, record):
        try:
            value = decode_body(record.body)
            format_version, kind = read_format(value)
            # Compared with the floor before anything else is read, whether or not this
            # program knows the format.  Otherwise, nodes with different program
            # versions would fold the record differently.
            if format_version > self.format_floor:
                reason = f"format {format_version} is above {self.format_floor}"
                return _verdict(Status.FORMAT_ABOVE_FLOOR, record, reason)
            if kind == "snapshot":
                return _verdict(Status.SNAPSHOT, record)
            if kind == "change":
                return self._evaluate_change(record, read_change(value))
            if kind == "floor":
                return self._evaluate_floor(record, read_floor(value))
        except RecordError as error:
            return _verdict(Status.INVALID, record, str(error))
        return _verdict(Status.INVALID, record, f"kind {kind!r} is unknown")

    def _evaluate_change(self, record, change):
        rejection = self._reject_stale(record, change)
        if rejection is not None:
            return rejection
        tables, problems = changed_tables(self.state, change)
        if not problems:
            findings = find_inconsistencies(tables, _changed_kinds(change))
            problems = [str(finding) for finding in findings]
        if problems:
            return _verdict(Status.INVALID, record, "; ".join(problems), change)
        self.state = self._next_state(record, change, tables)
        return self._accept(record, change)

    def _evaluate_floor(self, record, change):
        rejection = self._reject_stale(record, change)
        if rejection is not None:
            return rejection
        if change.format_floor != self.format_floor + 1:
            reason = f"format_floor must be {self.format_floor + 1}"
            return _verdict(Status.INVALID, record, reason, change)
        if change.format_floor > self.known_format:
            # This program can't interpret records of the new format.  If it continued,
            # its state would differ from that of all other nodes, so the last state
            # stays in force.
            self.halted_reason = (
                f"record {record.offset} raises the format to {change.format_floor}; "
                f"this program knows {self.known_format}"
            )
            return None
        self.format_floor = change.format_floor
        self.state = State(
            record.offset,
            self.state.objects(),
            homes_histories=self.state.homes_histories,
        )
        return self._accept(record, change)

    def _reject_stale(self, record, change):
        accepted = self.accepted_ids.get(change.record_id)
        if accepted is not None:
            reason = f"id {change.record_id!r} was accepted at {accepted.offset}"
            return _verdict(Status.REPEATED, record, reason, change)
        if change.expected_version != self.state.version:
            reason = (
                f"made for version {change.expected_version}, but "
                f"{self.last_author!r} had published {self.state.version}"
            )
            return _verdict(Status.CONFLICT, record, reason, change)
        return None

    def _next_state(self, record, change, tables):
        objects = [item for table in tables.values() for item in table.values()]
        histories = self.state.homes_histories
        state = State(record.offset, objects, homes_histories=histories)
        if _changed_kinds(change) & KINDS_OF_HOMES:
            hosts = {name: state.service_hosts(name) for name in state.services}
            state.set_homes(
                next_histories(histories, hosts, record.offset, record.at_ms)
            )
        return state

    def _accept(self, record, change):
        self.last_author = change.author
        self.last_record_id = change.record_id
        digest = content_digest(change)
        self.accepted_ids[change.record_id] = AcceptedId(
            record.offset, record.at_ms, digest
        )
        self._forget_ids(record.at_ms - ID_LIFETIME_MS)
        return _verdict(Status.ACCEPTED, record, change=change)

    def _forget_ids(self, oldest_kept_ms):
        for record_id, accepted in list(self.accepted_ids.items()):
            kept = accepted.at_ms >= oldest_kept_ms
            if kept or len(self.accepted_ids) <= IDS_KEPT:
                return
            del self.accepted_ids[record_id]


def changed_tables(state, change):
    """Return the objects by kind and name after a change, and its problems.

    Returns
    -------
    tables : dict of dict
        Objects by kind and name.
    problems : list of str
        One message per removed object that doesn't exist.
    """
    tables = {kind: dict(getattr(state, kind)) for kind in KINDS}
    problems = []
    for kind, name in change.removed:
        if tables[kind].pop(name, None) is None:
            problems.append(f"removed.{kind}: there is no {name!r}")
    for configured in change.put:
        tables[kind_of(configured)][configured.name] = configured
    return tables, problems


def record_digest(record):
    """Return the digest of a record's offset, time and body."""
    digest = hashlib.sha256(f"{record.offset} {record.at_ms} ".encode())
    digest.update(record.body)
    return digest.hexdigest()


def _extend_chain(chain, digest):
    return hashlib.sha256(f"{chain} {digest}".encode()).hexdigest()[:CHAIN_LENGTH]


def _changed_kinds(change):
    removed = {kind for kind, _ in change.removed}
    return removed | {kind_of(configured) for configured in change.put}


def _verdict(status, record, reason="", change=None):
    return Verdict(status, record.offset, record.at_ms, reason, change)
