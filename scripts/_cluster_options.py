"""Sizes, settings and hosts of a cluster."""

LOOPBACK = "127.0.0.1"


class ClusterOptions:
    """Sizes and settings of a cluster.

    Parameters
    ----------
    failure_domains : tuple of str
        Failure domains, to which hosts are assigned round-robin.
    entries, engines, plain_services : int
        Number of each; every engine and plain service has an agent.
    step_ms : float
        Step time of the engines, milliseconds.
    batch_capacity : int
        Batch capacity of the engines.
    host_list_lag_s : float
        Lag of the host list, seconds.
    proxied : tuple of str
        Names of hosts whose agents are reached through a fault proxy.
    entry_settings, agent_settings : dict
        Settings that override the generated settings.
    engine_options : tuple of str
        Additional command line options of the engine stand-ins.
    requests_per_s, tokens_per_s : float
        Limits of every client account.
    plain_delay_ms : float
        Service time of a plain service, milliseconds.
    clock_error_limit_s : float
        Clock error that entries and agents allow for, seconds.
    """

    __slots__ = (
        "agent_settings",
        "batch_capacity",
        "clock_error_limit_s",
        "engine_options",
        "engines",
        "entries",
        "entry_settings",
        "failure_domains",
        "host_list_lag_s",
        "plain_delay_ms",
        "plain_services",
        "proxied",
        "requests_per_s",
        "step_ms",
        "tokens_per_s",
    )

    def __init__(
        self,
        failure_domains=("grafarvogur-hall", "breidholt-hall"),
        entries=3,
        engines=4,
        plain_services=2,
        step_ms=5.0,
        batch_capacity=64,
        host_list_lag_s=0.5,
        proxied=(),
        entry_settings=None,
        agent_settings=None,
        engine_options=(),
        requests_per_s=1e5,
        tokens_per_s=1e7,
        plain_delay_ms=20.0,
        clock_error_limit_s=1.0,
    ):
        self.failure_domains = failure_domains
        self.entries = entries
        self.engines = engines
        self.plain_services = plain_services
        self.step_ms = step_ms
        self.batch_capacity = batch_capacity
        self.host_list_lag_s = host_list_lag_s
        self.proxied = proxied
        self.entry_settings = entry_settings or {}
        self.agent_settings = agent_settings or {}
        self.engine_options = engine_options
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
        self.plain_delay_ms = plain_delay_ms
        self.clock_error_limit_s = clock_error_limit_s


def quick_options(**values):
    """Return options with which failures are detected within about a second.

    Parameters
    ----------
    **values
        Additional arguments of `ClusterOptions`.
    """
    peers = {"heartbeat_interval_s": 0.25, "silence_limit_s": 1.0}
    return ClusterOptions(
        entry_settings={"peers": peers, "callers": {"balancer_notice_s": 0.2}},
        agent_settings={"peers": peers},
        # All processes on a host share a clock.
        clock_error_limit_s=0.1,
        **values,
    )


class Node:
    """Host of the system: its daemon and, for an agent, its target.

    Attributes
    ----------
    name, role, failure_domain : str
        Fields of its entry in the host list.
    process : scripts._processes.StartedProcess or None
        Process of the daemon.
    port : int
        TCP port for peers, or for callers in case of an entry.
    status_port : int
        TCP port of ``/readyz`` and ``/metrics``.
    listed_port : int
        Port in the host list; that of the fault proxy for an agent behind a proxy.
    target_address : tuple or None
        IP number and port of the target.
    target_process : scripts._processes.StartedProcess or None
        Process of the target.
    control_address : tuple or None
        Address of the fault proxy's control port.
    settings_path : pathlib.Path or None
        Settings file of the daemon.
    kind : str
        "engine", "plain" or "" for an entry.
    """

    __slots__ = (
        "control_address",
        "failure_domain",
        "kind",
        "listed_port",
        "name",
        "port",
        "process",
        "role",
        "settings_path",
        "status_port",
        "target_address",
        "target_process",
    )

    def __init__(self, name, role, failure_domain, port, status_port, kind=""):
        self.name = name
        self.role = role
        self.failure_domain = failure_domain
        self.port = port
        self.status_port = status_port
        self.listed_port = port
        self.kind = kind
        self.process = None
        self.settings_path = None
        self.target_address = None
        self.target_process = None
        self.control_address = None

    @property
    def address(self):
        """IP number and TCP port of the daemon."""
        return (LOOPBACK, self.port)

    @property
    def status_address(self):
        """IP number and TCP port of ``/readyz`` and ``/metrics``."""
        return (LOOPBACK, self.status_port)
