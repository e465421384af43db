"""HTTP towards callers.

Interface: ``CallerServer(settings, view, dispatcher, admission, clock, metrics,
connected_hosts=None, request_ids=None)`` with ``async run(listening socket)`` and
``async drain(deadline)``.  It builds a `CallerRequest`, asks
``admission.admit(request)``, calls ``dispatcher.begin(request)`` and relays the events
of the answer.
"""

from siskinthread.callers._server import CallerServer
from siskinthread.callers._settings import CallerSettings

__all__ = ["CallerServer", "CallerSettings"]
