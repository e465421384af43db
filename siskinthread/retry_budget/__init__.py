"""Budgets that bound retries to a share of the requests.

`RetryBudget` has ``note_request()`` and ``try_spend()``; its settings provide
``retry_window_s``, ``retry_share`` and ``retry_floor_count``.  `ServiceRetryBudgets`
has one budget for each service, with the limits of a `FleetShare`.
"""

from siskinthread.retry_budget._fleet import FleetShare, ServiceRetryBudgets
from siskinthread.retry_budget._retry_budget import RetryBudget

__all__ = ["FleetShare", "RetryBudget", "ServiceRetryBudgets"]
