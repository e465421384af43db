"""From an admitted request to the events of its one true answer.

Interface: ``Dispatcher(settings, view, links, router, retry_budget, clock, metrics)``
with ``async begin(request)``, which returns an ``Answer``: ``async next_event()``
(`Head`, `Part`, `End`; bytes returned earlier count as written to the caller when it is
called again) and ``async cancel()``.
"""

from siskinthread.dispatch._answer import Answer
from siskinthread.dispatch._dispatcher import Dispatcher
from siskinthread.dispatch._messages import CallerRequest
from siskinthread.dispatch._settings import DispatchSettings

__all__ = ["Answer", "CallerRequest", "DispatchSettings", "Dispatcher"]
