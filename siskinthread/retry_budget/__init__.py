"""Budgets that bound repeats to a share of the requests.

Interface: ``RetryBudget(settings, clock)`` with ``note_request()`` and ``try_spend()``;
the settings have ``retry_window_s``, ``retry_share`` and ``retry_floor_count``.
`ServiceRetryBudgets` has one for each service, with the limits of a `FleetPart`.
"""

from siskinthread.retry_budget._fleet import FleetPart, ServiceRetryBudgets
from siskinthread.retry_budget._retry_budget import RetryBudget

__all__ = ["FleetPart", "RetryBudget", "ServiceRetryBudgets"]
