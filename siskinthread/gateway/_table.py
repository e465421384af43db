"""Configuration that operators publish: routes, services, accounts and limits."""

import enum


class RequestKind(enum.Enum):
    """Whether a request may be repeated, and whether its answer is a stream."""

    # May run any number of times.
    IDEMPOTENT = "idempotent"
    # May run at most once; also used for unknown kinds.
    ONCE = "once"
    # A stream of events that must not be started twice.
    STREAM_ONCE = "stream_once"
    # A stream that another target can continue after the last event.
    STREAM_RESUMABLE = "stream_resumable"

    @property
    def is_stream(self):
        """Whether the answer is a stream of events."""
        return self in (RequestKind.STREAM_ONCE, RequestKind.STREAM_RESUMABLE)

    @property
    def is_repeatable(self):
        """Whether a request that may already have run may be retried."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.STREAM_RESUMABLE)


class ServiceShare:
    """Share of a route's requests that a service serves.

    Parameters
    ----------
    service_name : str
        Name of the service.
    weight : float
        Weight of the share, relative to the other shares of the route.
    """

    __slots__ = ("service_name", "weight")

    def __init__(self, service_name, weight):
        self.service_name = service_name
        self.weight = weight


class Route:
    """Rules for requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name that operators have chosen.
    host : str
        Host in lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    kind : RequestKind
        Whether requests may be repeated.
    shares : list of ServiceShare
        Services that serve the route.
    attempt_limit : int
        Maximum number of targets that one request may be sent to.
    wait_limit_s : float
        Time-out for the final answer, seconds.
    priority : int
        Priority among routes; 0 is the highest.
    is_public : bool
        Whether requests without an API key are served.
    objective_s : float or None
        Time within which an answer, or the first event of a stream, has its full value
        for the caller, seconds; None if none is published.
    pause_limit_s : float or None
        Longest pause between two events of a stream that counts as in time, seconds;
        None if none is published.
    """

    __slots__ = (
        "attempt_limit",
        "host",
        "is_public",
        "kind",
        "name",
        "objective_s",
        "path_prefix",
        "pause_limit_s",
        "priority",
        "shares",
        "wait_limit_s",
    )

    def __init__(
        self,
        name,
        host,
        path_prefix,
        kind,
        shares,
        attempt_limit,
        wait_limit_s,
        priority,
        is_public,
        objective_s=None,
        pause_limit_s=None,
    ):
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.shares = shares
        self.attempt_limit = attempt_limit
        self.wait_limit_s = wait_limit_s
        self.priority = priority
        self.is_public = is_public
        self.objective_s = objective_s
        self.pause_limit_s = pause_limit_s

    def choose_service(self, draw):
        """Choose a service at random by the weights of the shares.

        Parameters
        ----------
        draw : float
            Uniform random number in [0, 1).

        Returns
        -------
        str
            Name of the service.
        """
        left = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            left -= share.weight
            if left < 0:
                return share.service_name
        return self.shares[-1].service_name


class Account:
    """A client account.

    Parameters
    ----------
    name : str
        Name that is sent to targets.
    priority : int or None
        Priority that overrides the route's; 0 is the highest.
    """

    __slots__ = ("name", "priority")

    def __init__(self, name, priority=None):
        self.name = name
        self.priority = priority


class Service:
    """A set of targets that serve the same requests.

    Parameters
    ----------
    name : str
        Name of the service.
    experts : siskinthread.group_maps.ExpertLayout or None
        Shape of the expert maps of the targets, if they are ranks of groups.
    tokens : siskinthread.load_control.TokenModel or None
        Memory of the targets, if it is published.
    cold_start_s : float
        How long a target is cold after a start under traffic, seconds.
    cold_per_s : float
        Rate of requests that a cold target accepts, per second; 0 if no rule is
        published.
    """

    __slots__ = ("cold_per_s", "cold_start_s", "experts", "name", "tokens")

    def __init__(
        self, name, experts=None, tokens=None, cold_start_s=0.0, cold_per_s=0.0
    ):
        self.tokens = tokens
        self.name = name
        self.experts = experts
        self.cold_start_s = cold_start_s
        self.cold_per_s = cold_per_s


class CallerLimits:
    """Size limits and time-outs of callers' requests.

    Parameters
    ----------
    head_size_limit_bytes, body_size_limit_bytes : int
        Maximum size of the head and of the body of a request.
    head_limit_s : float
        Time-out from the first byte of a request head to its end, seconds.
    idle_limit_s : float
        Time-out of an idle connection, seconds.
    """

    __slots__ = (
        "body_size_limit_bytes",
        "head_limit_s",
        "head_size_limit_bytes",
        "idle_limit_s",
    )

    def __init__(
        self, head_size_limit_bytes, body_size_limit_bytes, head_limit_s, idle_limit_s
    ):
        self.head_size_limit_bytes = head_size_limit_bytes
        self.body_size_limit_bytes = body_size_limit_bytes
        self.head_limit_s = head_limit_s
        self.idle_limit_s = idle_limit_s


class RouteTable:
    """One version of the published configuration.

    Parameters
    ----------
    version : int
        Version number; increases with each publication.
    routes : list of Route
        All routes.
    services : list of Service
        All services.
    accounts_by_key : dict of str to Account, or None
        Client accounts by API key; None if no request needs a key.
    limits : CallerLimits or None
        Limits of callers; None if those of the settings apply.
    """

    __slots__ = ("_routes", "accounts_by_key", "limits", "services", "version")

    def __init__(self, version, routes, services, accounts_by_key, limits):
        self.version = version
        self.services = {service.name: service for service in services}
        self.accounts_by_key = accounts_by_key
        self.limits = limits
        self._routes = {}
        for route in routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route

    def find_route(self, host, path):
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header.
        path : str
            Path without the query.

        Notes
        -----
        Every prefix ends with a slash, so only the slashes of the path are tried; the
        time is independent of the number of routes.
        """
        by_prefix = self._routes.get(_bare_host(host))
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _bare_host(host):
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()


class TableView:
    """The route table in force; it is never replaced by an older version.

    Attributes
    ----------
    table : RouteTable or None
        None until the first table is known.
    """

    __slots__ = ("_listeners", "table")

    def __init__(self):
        self.table = None
        self._listeners = []

    def listen(self, callback):
        """Register a callback that is called with each table that comes into force."""
        self._listeners.append(callback)

    def advance(self, table):
        """Put a table in force unless it is not newer than the present one.

        Returns
        -------
        bool
            Whether the table has come into force.

        Notes
        -----
        Tables arrive from several readers, possibly out of order.  Without the check,
        a request could be served by a removed route after another request for that
        route was already refused.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        for callback in self._listeners:
            callback(table)
        return True
