"""State that all connections of a gateway share."""

from siskinthread.http_server import DrainState, RequestBodies

LIMIT_NAMES = (
    "head_size_limit_bytes",
    "body_size_limit_bytes",
    "head_limit_s",
    "idle_limit_s",
)


class LiveSettings:
    """Settings, overridden by the published limits of callers.

    Parameters
    ----------
    settings : GatewaySettings
        All settings, including the limits that apply until some are published.
    view : TableView
        The table in force, with the published limits.
    """

    __slots__ = ("_settings", "_view")

    def __init__(self, settings, view):
        self._settings = settings
        self._view = view

    def __getattr__(self, name):
        table = self._view.table
        if name in LIMIT_NAMES and table is not None and table.limits is not None:
            return getattr(table.limits, name)
        return getattr(self._settings, name)


class GatewayContext:
    """State that all connections share.

    Parameters
    ----------
    settings : LiveSettings
        Limits and time-outs.
    view : TableView
        The route table in force.
    parts : GatewayParts
        Components that process requests.
    dependencies : list of Dependency
        Dependencies whose answers confirm the route table.
    ended_count : prometheus_client.Counter
        Number of connections that were closed early, by cause.
    heap : siskinthread.http_server.HeapTrimmer
        Trims the heap when memory is short.

    Attributes
    ----------
    bodies : siskinthread.http_server.RequestBodies
        Memory budget for request bodies.
    drain : siskinthread.http_server.DrainState
        Progress of a drain.
    draining : bool
        Whether readiness fails, and each connection is closed after its next response.
    closing : bool
        Whether connections are refused.
    """

    __slots__ = (
        "_dependencies",
        "bodies",
        "closing",
        "drain",
        "draining",
        "ended_count",
        "parts",
        "settings",
        "view",
    )

    def __init__(self, settings, view, parts, dependencies, ended_count, heap):
        self.settings = settings
        self.view = view
        self.parts = parts
        self.ended_count = ended_count
        self.bodies = RequestBodies(settings.bodies_limit_bytes, parts.clock, heap)
        self.drain = DrainState()
        self.draining = False
        self.closing = False
        self._dependencies = dependencies

    def confirm_by(self, dependency):
        """Add a `Dependency` whose answers confirm the route table."""
        self._dependencies.append(dependency)

    def table_age_s(self):
        """Return the time since the table was confirmed, seconds; None if never."""
        ages_s = [one.age_s() for one in self._dependencies]
        known_s = [age_s for age_s in ages_s if age_s is not None]
        return round(min(known_s), 3) if known_s else None

    def is_table_fresh(self):
        """Return whether the route table was confirmed recently."""
        limit_s = self.settings.table_age_limit_s + self.settings.table_fresh_s
        for dependency in self._dependencies:
            age_s = dependency.age_s()
            if age_s is not None and age_s <= limit_s and not dependency.is_lost:
                return True
        return False
