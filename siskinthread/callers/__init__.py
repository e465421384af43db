"""HTTP front end for callers.

Interface: ``CallerServer(settings, view, dispatcher, admission, clock, metrics,
connected_hosts=None, request_ids=None)`` with ``async run(listening socket)`` and
``async drain(deadline)``.  For each request it builds a `CallerRequest`, calls
``admission.admit(request)`` and ``dispatcher.begin(request)``, and relays the events of
the answer.
"""

from siskinthread.callers._server import CallerServer
from siskinthread.callers._settings import CallerSettings

__all__ = ["CallerServer", "CallerSettings"]
