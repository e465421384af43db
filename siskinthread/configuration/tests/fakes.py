"""An in-memory log with injectable faults, and small configurations."""

from siskinthread.configuration import (
    Account,
    Host,
    Placement,
    Policy,
    Selector,
    Service,
)
from siskinthread.configuration._records import Change, encode_change
from siskinthread.errors import PlatformUnavailableError
from siskinthread.shared_services import LogRecord, LogSpan

START_MS = 1_700_000_000_000
STEP_MS = 1000


class FakeLog:
    """Replaces `siskinthread.shared_services.LogClient`.

    Attributes
    ----------
    down : bool
        Whether reads and appends fail without effect.
    lose_answers : int
        Number of next appends that take effect but whose answers are lost.
    hold_appends : int
        Number of next appends that fail and are kept in `held` until `release`.
    """

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.at_ms = START_MS
        self.down = False
        self.lose_answers = 0
        self.hold_appends = 0
        self.held = []
        self.reads = 0

    @property
    def next_offset(self):
        return self.first_offset + len(self.records)

    def put(self, body):
        """Append a record without faults and return its offset."""
        offset = self.next_offset
        self.records.append(LogRecord(offset, self.at_ms, body))
        self.at_ms += STEP_MS
        return offset

    def expire(self, first_offset):
        """Drop the records before an offset."""
        del self.records[: first_offset - self.first_offset]
        self.first_offset = first_offset

    def truncate(self, next_offset):
        """Drop the records from an offset on."""
        del self.records[next_offset - self.first_offset :]

    def release(self):
        """Let the held appends take effect."""
        held, self.held = self.held, []
        for body in held:
            self.put(body)

    async def append(self, stream, body):
        if self.down:
            raise PlatformUnavailableError("log: down")
        if self.hold_appends:
            self.hold_appends -= 1
            self.held.append(body)
            raise PlatformUnavailableError("log: no answer")
        offset = self.put(body)
        if self.lose_answers:
            self.lose_answers -= 1
            raise PlatformUnavailableError("log: no answer")
        return offset

    async def read(self, stream, from_offset, limit=500, wait_s=0.0):
        self.reads += 1
        if self.down:
            raise PlatformUnavailableError("log: down")
        skipped = max(0, from_offset - self.first_offset)
        records = self.records[skipped : skipped + limit]
        return LogSpan(self.first_offset, self.next_offset, records)


def host(name, **labels):
    return Host(name, labels)


def change(record_id, expected_version, put=(), removed=(), author="ada"):
    return Change(record_id, author, "", expected_version, list(put), list(removed))


def body(*arguments, **options):
    return encode_change(change(*arguments, **options))


def first_objects():
    """Return a service with two hosts, an account and a policy."""
    return [
        host("h1", zone="a"),
        host("h2", zone="b"),
        Service("varsel", {"app": "varsel"}, "plain", [], ["GET"], 300.0),
        Account("rail", {"team": "rail"}, ["0" * 64]),
        Placement("p", {}, Selector("app=varsel"), Selector("zone in (a,b)")),
        Policy("q", {}, Selector(""), Selector(""), Selector(""), 0),
    ]
