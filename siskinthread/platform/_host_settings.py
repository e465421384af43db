"""The settings file that the platform writes for each process."""

import tomllib

from siskinthread.errors import SettingsError
from siskinthread.platform._server_entry import PORT_LIMIT
from siskinthread.settings import Address

SETTINGS_VARIABLE = "SISKINTHREAD_BOOT"
BYTES_PER_MEGABYTE = 1_000_000
# Fractions of the host's memory. Each assembled answer exists twice for a while. Of
# 112 MB these limits allow 75 MB, which leaves 37 MB for the process.
MEMORY_SHARES = {
    "bodies_limit_bytes": 1 / 8,
    "answers_limit_bytes": 1 / 16,
    "slow_readers_limit_bytes": 1 / 4,
    "connections_limit_bytes": 1 / 6,
}
# Descriptors that the platform reserves for files, and the part of the others that
# connections of callers may use; connections to targets and status pages use the rest.
FILE_DESCRIPTORS = 200
CALLERS_SHARE = 3 / 4


class HostSettings:
    """Settings that the platform writes for a process.

    Parameters
    ----------
    host : str
        Name of the host.
    failure_domain : str
        Failure domain of the host.
    callers_listen : siskinthread.settings.Address or None
        Listening address for callers.
    status_listen : siskinthread.settings.Address or None
        Listening address for the balancer's readiness checks.
    peer_address : siskinthread.settings.Address
        Address of this process for other entry hosts, with its first internal port.
    first_peers : list of siskinthread.settings.Address
        Peer addresses of at most three hosts; some of them may be gone.
    store : siskinthread.settings.Address
        Address of the platform's store.
    share_count : int
        Partitions of each topic of the store.
    stop_limit_s : float
        Time from SIGTERM until the process is killed, seconds.
    link_mbps : float or None
        Rate of the host's link, Mbit/s, if it is stated.
    retry_limits : dict of str to float
        Gateway settings on the retry budget that the platform states.
    cold_limits : dict of str to float
        Gateway settings on cold targets that the platform states; empty without a rule.
    memory_limits : dict of str to int
        Gateway settings on buffers for callers and targets, derived from the host's
        memory; empty if the memory is not stated.
    descriptor_limits : dict of str to int
        Gateway settings on connections, derived from the process's descriptors; empty
        if their number is not stated.
    """

    __slots__ = (
        "callers_listen",
        "cold_limits",
        "descriptor_limits",
        "failure_domain",
        "first_peers",
        "host",
        "link_mbps",
        "memory_limits",
        "peer_address",
        "retry_limits",
        "share_count",
        "status_listen",
        "stop_limit_s",
        "store",
    )

    def __init__(
        self,
        host,
        failure_domain,
        callers_listen,
        status_listen,
        peer_address,
        first_peers,
        store,
        share_count,
        stop_limit_s,
        link_mbps,
        retry_limits,
        cold_limits,
        memory_limits,
        descriptor_limits,
    ):
        self.host = host
        self.failure_domain = failure_domain
        self.callers_listen = callers_listen
        self.status_listen = status_listen
        self.peer_address = peer_address
        self.first_peers = first_peers
        self.store = store
        self.share_count = share_count
        self.stop_limit_s = stop_limit_s
        self.link_mbps = link_mbps
        self.retry_limits = retry_limits
        self.cold_limits = cold_limits
        self.memory_limits = memory_limits
        self.descriptor_limits = descriptor_limits


def read_host_settings(text, source_name):
    """Return the `HostSettings` of a settings file.

    Parameters
    ----------
    text : str
        Contents of the file.
    source_name : str
        Its name, for messages.

    Raises
    ------
    SettingsError
        If the text is not TOML, or a required value is missing or malformed.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"{source_name}: {error}"]) from error
    reader = _FieldReader(document, source_name)
    peer_port = reader.first_port("internal_ports")
    host = reader.value("ip", str)
    seeds = reader.texts("seeds")
    settings = HostSettings(
        # "node" is the platform's name of the machine, not of the process.
        host=reader.value("node", str),
        failure_domain=reader.value("zone", str),
        callers_listen=reader.address("listen.front", required=False),
        status_listen=reader.address("listen.ready", required=False),
        peer_address=Address(host, peer_port),
        # The ports of the seeds serve another purpose; internal ports are equal on all
        # hosts.
        first_peers=[Address(seed.rpartition(":")[0], peer_port) for seed in seeds],
        store=reader.address("platform.address"),
        share_count=reader.value("platform.parts", int),
        stop_limit_s=reader.value("bounds.grace_s", int, float),
        link_mbps=reader.value("limits.link_mbps", int, float, required=False),
        retry_limits=_read_retry_limits(reader),
        cold_limits=_read_cold_limits(reader),
        memory_limits=_read_memory_limits(reader),
        descriptor_limits=_read_descriptor_limits(reader),
    )
    if reader.problems:
        raise SettingsError(reader.problems)
    return settings


def _read_retry_limits(reader):
    names = {
        "retry_share": "bounds.retry_ratio",
        "retry_floor_count": "bounds.retry_slack",
        "retry_window_s": "bounds.retry_window_s",
    }
    return _read_limits(reader, names)


def _read_cold_limits(reader):
    names = {"excess_ratio": "bounds.cold_over", "excess_count": "bounds.cold_slack"}
    limits = _read_limits(reader, names)
    # The rule needs both values.
    return limits if len(limits) == len(names) else {}


def _read_limits(reader, names):
    limits = {
        name: reader.value(theirs, int, float, required=False)
        for name, theirs in names.items()
    }
    return {name: value for name, value in limits.items() if value is not None}


def _read_memory_limits(reader):
    memory_mb = reader.value("limits.memory_mb", int, float, required=False)
    if memory_mb is None:
        return {}
    return {
        name: round(memory_mb * BYTES_PER_MEGABYTE * share)
        for name, share in MEMORY_SHARES.items()
    }


def _read_descriptor_limits(reader):
    count = reader.value("limits.max_fds", int, required=False)
    if count is None:
        return {}
    limit = round((count - FILE_DESCRIPTORS) * CALLERS_SHARE)
    return {"connections_limit": max(1, limit)}


class _FieldReader:
    """Reads values by dotted names and collects all problems."""

    def __init__(self, document, source_name):
        self._document = document
        self._source_name = source_name
        self.problems = []

    def value(self, name, *kinds, required=True):
        """Return a value of one of the given types, or None."""
        value = self._document
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            if required:
                self._report(name, "is missing")
            return None
        if not isinstance(value, kinds) or isinstance(value, bool):
            self._report(name, f"has the value {value!r}")
            return None
        return value

    def first_port(self, name):
        """Return the first port of a range, or None."""
        ports = self.value(name, list)
        if ports is None:
            return None
        port = ports[0] if ports else None
        if type(port) is not int or not 1 <= port <= PORT_LIMIT:
            self._report(name, f"begins with no port: {ports!r}")
            return None
        return port

    def texts(self, name):
        """Return a list of strings; an empty one if there is none."""
        values = self.value(name, list, required=False)
        if values is None:
            return []
        if not all(isinstance(one, str) for one in values):
            self._report(name, f"is no list of strings: {values!r}")
            return []
        return values

    def address(self, name, required=True):
        """Return an address, or None."""
        text = self.value(name, str, required=required)
        if text is None:
            return None
        try:
            return Address.parse(text)
        except ValueError as error:
            self._report(name, f"is no address: {text!r}: {error}")
            return None

    def _report(self, name, message):
        self.problems.append(f"{self._source_name}: {name} {message}")
