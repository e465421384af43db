"""Admission of requests: account limits, load shedding and retry budgets.

Interface: ``Admission(settings, view, membership, clock, metrics, target_load=None,
shares=None)`` with ``admit(request)``, which returns an `End` (refused, not run; for a
request with an idempotency key, unknown) or an ``Admitted`` with ``finish(tokens)``;
``RetryBudget(settings, clock)`` with ``note_request()`` and ``try_spend()``.  Both take
an `AdmissionSettings`.

``LentShares(settings, base, membership, own_host, clock)`` is a `ShareSource` that
borrows shares of limits where the demand is.  Its transport calls
``requests_to_send()`` at intervals and sends the `ShareRequest` messages, passes
received ones to ``handle_request(request)`` and sends the `ShareGrant` back, and passes
received grants to ``handle_grant(grant)``.
"""

from siskinthread.admission._admission import Admission, Admitted
from siskinthread.admission._lending import LentShares, ShareGrant, ShareRequest
from siskinthread.admission._settings import AdmissionSettings, ShareSettings
from siskinthread.admission._shares import ShareSource, StaticShares
from siskinthread.retry_budget import RetryBudget

__all__ = [
    "Admission",
    "AdmissionSettings",
    "Admitted",
    "LentShares",
    "RetryBudget",
    "ShareGrant",
    "ShareRequest",
    "ShareSettings",
    "ShareSource",
    "StaticShares",
]
