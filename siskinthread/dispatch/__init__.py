"""Send admitted requests to targets and return the events of the response.

Interface: ``Dispatcher(settings, view, links, router, retry_budget, clock, metrics)``
with ``async begin(request)``, which returns an ``Answer``: ``async next_event()``
(`Head`, `Part`, `End`; a further call acknowledges that the bytes returned before were
written to the caller) and ``async cancel()``.
"""

from siskinthread.dispatch._answer import Answer
from siskinthread.dispatch._dispatcher import Dispatcher
from siskinthread.dispatch._messages import CallerRequest
from siskinthread.dispatch._settings import DispatchSettings

__all__ = ["Answer", "CallerRequest", "DispatchSettings", "Dispatcher"]
