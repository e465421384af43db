"""Fakes of the components that the router uses."""

from siskinthread.configuration import Account, ConfigurationView, Service
from siskinthread.dispatch import CallerRequest
from siskinthread.membership import MembershipSettings, MembershipView
from siskinthread.observability import Metrics
from siskinthread.routing import Router, RoutingSettings
from siskinthread.shared_services import HostEntry
from siskinthread.timing import Deadline, ManualClock
from siskinthread.wire import LoadReport

SERVICE = Service("triage-llm", {}, "engine")
ACCOUNT = Account("inspectorate", {}, [])


class FakeStatus:
    """State of one link."""

    def __init__(self):
        self.connected = True
        self.leaving = False
        self.load = None
        self.load_received_at_s = None
        self.services = [SERVICE.name]


class FakeLinks:
    """Links with states that a test sets."""

    def __init__(self):
        self.statuses = {}

    def status(self, host):
        return self.statuses.get(host)

    def connected_hosts(self):
        return [
            host
            for host, status in self.statuses.items()
            if status.connected and not status.leaving
        ]


class FakeState:
    """A configuration that allows all hosts."""

    def __init__(self, hosts):
        self.version = 0
        self.hosts = frozenset(hosts)

    def allowed_hosts(self, account_name, service_name):
        return self.hosts

    def homes_at(self, service_name, issued_at_ms):
        return self.version, sorted(self.hosts)


class RoutingBench:
    """A router with fake links and configuration.

    Parameters
    ----------
    domains : dict of str to str
        Failure domain by target host; the router is in domain "a".
    random : random.Random
        The router's generator.
    **settings
        Routing settings that differ from the defaults.
    """

    def __init__(self, domains, random, **settings):
        self.clock = ManualClock()
        self.links = FakeLinks()
        self.membership = MembershipView(MembershipSettings(), self.clock)
        self.membership.replace([agent(host, domains[host]) for host in domains])
        self.view = ConfigurationView()
        self.view.state = FakeState(domains)
        for host in domains:
            self.links.statuses[host] = FakeStatus()
        self.settings = RoutingSettings(**settings)
        self.router = Router(
            self.settings,
            "a",
            self.view,
            self.membership,
            self.links,
            self.clock,
            Metrics(),
            random,
        )
        self._request_count = 0

    def request(self, **changes):
        """Return a new idempotent draft request."""
        self._request_count += 1
        fields = {"idempotent": True, "priority": 2} | changes
        return CallerRequest(
            f"request-{self._request_count}",
            ACCOUNT,
            SERVICE,
            "POST",
            "/v1/chat/completions",
            [],
            b"",
            deadline=Deadline.after(self.clock, 30.0),
            **fields,
        )

    def report(self, host, running, waiting=0, capacity=16, age_ms=0, **marks):
        """Set the load report of a host."""
        status = self.links.statuses[host]
        fields = {"leaving": False, "stalled": False} | marks
        status.load = LoadReport(running, waiting, capacity, age_ms, **fields)
        status.load_received_at_s = self.clock.monotonic_s()

    def send(self, **changes):
        """Choose a target, start an attempt there; return the host and the request."""
        request = self.request(**changes)
        host = self.router.choose(request)
        if host is not None:
            self.router.started(host, request)
        return host, request


def agent(host, failure_domain, leaving=False):
    """Return an entry of the host list."""
    return HostEntry(host, "agent", "127.0.0.1", 1, failure_domain, leaving)
