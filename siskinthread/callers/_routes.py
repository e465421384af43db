"""Map the method and target of a request line to a route."""

from siskinthread.http_server import bad_request, refuse
from siskinthread.outcomes import Reason

SERVICES_PREFIX = "/services/"
# CONNECT and TRACE can't be relayed meaningfully.
UNSUPPORTED_METHODS = frozenset(("CONNECT", "TRACE"))
READING_METHODS = ("GET", "HEAD")


class HealthRoute:
    """Liveness of the process."""

    __slots__ = ()


class ReadyRoute:
    """Readiness of the process for callers."""

    __slots__ = ()


class MetricsRoute:
    """Metrics of the process."""

    __slots__ = ()


class ModelsRoute:
    """List of the models that the account may use."""

    __slots__ = ()


class ChatRoute:
    """A chat completion."""

    __slots__ = ()


class ServiceRoute:
    """A call of a plain service.

    Parameters
    ----------
    service_name : str
        Name of the service.
    path : str
        Path and query that are sent to the service.
    """

    __slots__ = ("path", "service_name")

    def __init__(self, service_name, path):
        self.service_name = service_name
        self.path = path


FIXED_ROUTES = {
    "/healthz": (HealthRoute(), READING_METHODS),
    "/readyz": (ReadyRoute(), READING_METHODS),
    "/metrics": (MetricsRoute(), READING_METHODS),
    "/v1/models": (ModelsRoute(), READING_METHODS),
    "/v1/chat/completions": (ChatRoute(), ("POST",)),
}


def find_route(method, target):
    """Return the route of a request line, or a `Refusal`."""
    if not target.startswith("/"):
        return bad_request("The target of the request must be a path.")
    path = target.partition("?")[0]
    if path in FIXED_ROUTES:
        route, methods = FIXED_ROUTES[path]
        return route if method in methods else _wrong_method(method, methods)
    if path.startswith(SERVICES_PREFIX):
        return _service_route(method, target)
    return refuse(Reason.NO_SUCH_SERVICE, f"There is nothing at {path}.")


def _service_route(method, target):
    if method in UNSUPPORTED_METHODS:
        return _wrong_method(method, ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))
    rest = target[len(SERVICES_PREFIX) :]
    end = min((rest.find(mark) for mark in "/?" if mark in rest), default=len(rest))
    path = rest[end:]
    if not path.startswith("/"):
        path = "/" + path
    return ServiceRoute(rest[:end], path)


def _wrong_method(method, methods):
    allowed = ", ".join(methods)
    return bad_request(
        f"{method} is not possible here; allowed: {allowed}.",
        status=405,
        headers=[("allow", allowed)],
    )
