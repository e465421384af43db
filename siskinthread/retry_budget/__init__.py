"""Budget that bounds repeats to a share of the requests.

Interface: ``RetryBudget(settings, clock)`` with ``note_request()`` and ``try_spend()``;
the settings have ``retry_window_s``, ``retry_share`` and ``retry_floor_count``.
"""

from siskinthread.retry_budget._retry_budget import RetryBudget

__all__ = ["RetryBudget"]
