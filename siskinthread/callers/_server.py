"""The HTTP server for callers."""

from siskinthread.callers._context import CallerContext, random_request_id
from siskinthread.callers._session import CallerSession
from siskinthread.http_server import ConnectionServer, InputMemory


def _unknown_hosts():
    return ("unknown",)


class CallerServer(ConnectionServer):
    """Serves callers over HTTP/1.1.

    Parameters
    ----------
    settings : CallerSettings
        Limits.
    view : siskinthread.configuration.ConfigurationView
        View of the configuration in force.
    dispatcher : siskinthread.dispatch.Dispatcher
        Runs admitted requests.
    admission : siskinthread.admission.Admission
        Admits requests.
    clock : siskinthread.timing.Clock
        Clock for deadlines and issue times.
    metrics : siskinthread.observability.Metrics
        Registry of the metrics; rendered at ``/metrics``.
    connected_hosts : callable, optional
        Returns the target hosts that are connected; ``/readyz`` fails if there is none.
    request_ids : callable, optional
        Returns a new request id.
    """

    __slots__ = ()

    def __init__(
        self,
        settings,
        view,
        dispatcher,
        admission,
        clock,
        metrics,
        connected_hosts=_unknown_hosts,
        request_ids=random_request_id,
    ):
        memory = InputMemory(settings.connections_limit_bytes, clock)
        context = CallerContext(
            settings,
            view,
            dispatcher,
            admission,
            clock,
            metrics,
            connected_hosts,
            request_ids,
            memory.heap,
        )
        open_count = metrics.gauge("callers_connections", "Connections that are open.")
        super().__init__(
            settings, context, self._open_session, clock, open_count, memory
        )

    def _open_session(self, connection, is_surplus):
        return CallerSession(connection, self._context, is_surplus)
