"""Fakes of the components that dispatch depends on."""

import curio

from siskinthread.configuration import Account, Service
from siskinthread.dispatch import CallerRequest, Dispatcher, DispatchSettings
from siskinthread.observability import Metrics
from siskinthread.outcomes import End, Head, Outcome, Part, Reason
from siskinthread.timing import Deadline, ManualClock

ACCOUNT = Account("varsel-team", {}, [])
SERVICE = Service("varsel", {}, "plain")
HEAD = Head(200, [("content-type", "text/plain")])
COMPLETE = End(Outcome.ANSWERED, Reason.COMPLETE, length_bytes=4)
ANSWER = [HEAD, Part(0, b"four"), COMPLETE]


def refused(reason=Reason.LEAVING):
    """Return the end of an attempt that was refused, not run."""
    return End(Outcome.REFUSED_NOT_RUN, reason)


def failed():
    """Return the end of an attempt that ran and failed."""
    return End(Outcome.FAILED_RAN, Reason.TARGET_FAILED)


def unknown(reason=Reason.AGENT_UNREACHABLE):
    """Return the end of an attempt that may or may not have run."""
    return End(Outcome.UNKNOWN, reason)


class FakeState:
    """The part of a configuration state that dispatch reads."""

    def __init__(self, homes_version):
        self.version = homes_version

    def homes_at(self, service_name, issued_at_ms):
        """Return the version and the hosts of a service."""
        return self.version, ["a"]


class FakeView:
    """A configuration view whose state tests replace."""

    def __init__(self):
        self.state = FakeState(7)


class FakeStatus:
    """Status of a link."""

    def __init__(self, connected):
        self.connected = connected


class FakeExchange:
    """An exchange that replays a list of events."""

    def __init__(self, links, events):
        self._links = links
        self._events = list(events)
        self.written = True

    async def next_event(self):
        """Return the next event; at the end of the list, await ``links.wait``."""
        if not self._events and self._links.wait is not None:
            return await self._links.wait()
        return self._events.pop(0)

    async def cancel(self):
        """Count the cancellation."""
        self._links.cancelled += 1


class FakeLinks:
    """Links whose successive exchanges replay successive scripts."""

    def __init__(self, scripts, down=()):
        self._scripts = list(scripts)
        self.down = down
        self.starts = []
        self.exchanges = []
        self.wait = None
        self.cancelled = 0

    def status(self, host):
        """Return a status; hosts in `down` are not connected."""
        return FakeStatus(host not in self.down)

    async def start(self, host, start_request, deadline):
        """Record the frame and start an exchange with the next script."""
        self.starts.append((host, start_request))
        self.exchanges.append(FakeExchange(self, self._scripts.pop(0)))
        return self.exchanges[-1]


class FakeRouter:
    """Chooses the first host that is not excluded."""

    def __init__(self, hosts=("a", "b", "c", "d")):
        self._hosts = hosts
        self.in_flight = 0
        self.first_bytes = 0

    def choose(self, request, excluded):
        """Return the first host that is not excluded, or None."""
        return next((host for host in self._hosts if host not in excluded), None)

    def started(self, host, request):
        """Count an attempt."""
        self.in_flight += 1

    def first_byte(self, host, request, first_byte_s):
        """Count a first byte."""
        self.first_bytes += 1

    def ended(self, host, request, outcome, first_byte_s):
        """Count the end of an attempt."""
        self.in_flight -= 1


class FakeBudget:
    """A retry budget of a fixed number of retries."""

    def __init__(self, left=100):
        self.left = left
        self.requests = 0

    def note_request(self):
        """Count a request."""
        self.requests += 1

    def try_spend(self):
        """Spend one retry; return whether one was left."""
        self.left -= 1
        return self.left >= 0


class Bench:
    """A dispatcher with fake components."""

    def __init__(self, *scripts, hosts=("a", "b", "c", "d"), down=(), budget=100):
        self.clock = ManualClock()
        self.view = FakeView()
        self.links = FakeLinks(scripts, down)
        self.router = FakeRouter(hosts)
        self.budget = FakeBudget(budget)
        self.metrics = Metrics()
        self.settings = DispatchSettings(
            first_back_off_s=0.0,
            longest_back_off_s=0.0,
            home_back_off_s=0.0,
            link_wait_s=0.0,
            lost_link_wait_s=0.001,
            link_check_interval_s=0.001,
        )
        self.dispatcher = Dispatcher(
            self.settings,
            self.view,
            self.links,
            self.router,
            self.budget,
            self.clock,
            self.metrics,
        )

    def request(self, idempotent=False, key=None, wait_s=10.0):
        """Return a request."""
        return CallerRequest(
            request_id=key or "request-1",
            account=ACCOUNT,
            service=SERVICE,
            method="POST",
            path="/alerts",
            headers=[("content-type", "application/json")],
            body=b"{}",
            idempotent=idempotent,
            deadline=Deadline.after(self.clock, wait_s),
            priority=0,
            idempotency_key=key,
            issued_at_ms=self.clock.unix_ms() if key else None,
        )

    async def answer(self, request):
        """Return all events of the answer to a request."""
        answer = await self.dispatcher.begin(request)
        events = []
        while not events or not isinstance(events[-1], End):
            events.append(await answer.next_event())
        return events


def run(bench, **request_options):
    """Return the events of the answer to one request."""
    return curio.run(bench.answer, bench.request(**request_options))
