"""Model counterparts of the objects that a `Router` queries."""

from siskinthread.shared_services import HostEntry

SERVICE_NAME = "triage-llm"


class ModelLinkStatus:
    """State of a link with the attributes of `siskinthread.links.LinkStatus`."""

    __slots__ = ("connected", "leaving", "load", "load_received_at_s", "services")

    def __init__(self):
        self.connected = True
        self.leaving = False
        self.load = None
        self.load_received_at_s = None
        self.services = [SERVICE_NAME]


class ModelLinks:
    """Links of one entry host."""

    __slots__ = ("_statuses",)

    def __init__(self, hosts):
        self._statuses = {host: ModelLinkStatus() for host in hosts}

    def status(self, host):
        """Return the state of a link."""
        return self._statuses.get(host)

    def connected_hosts(self):
        """Return the names of all targets."""
        return list(self._statuses)


class ModelState:
    """Configuration that allows each account every target."""

    __slots__ = ("_hosts", "version")

    def __init__(self, hosts):
        self._hosts = frozenset(hosts)
        self.version = 0

    def allowed_hosts(self, account_name, service_name):
        """Return all targets."""
        return self._hosts


class ModelMembership:
    """Membership that never changes."""

    __slots__ = ("_entries", "_failure_domains")

    def __init__(self, hosts, entry_count):
        self._failure_domains = hosts
        self._entries = {
            f"entry-{index}": HostEntry(f"entry-{index}", "entry", "", 0, "", False)
            for index in range(entry_count)
        }

    def entries(self):
        """Return the entry hosts."""
        return self._entries

    def is_leaving(self, host):
        """Return False."""
        return False

    def failure_domain(self, host):
        """Return the failure domain of a target."""
        return self._failure_domains[host]

    def listen(self, callback):
        """Ignore the callback, as the membership never changes."""
