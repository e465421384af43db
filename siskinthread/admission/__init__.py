"""Limits, early shedding and retry budgets.

Interface: ``Admission(settings, view, membership, clock, metrics)`` with
``admit(request)``, which returns an `End` (refused, not run) or an ``Admitted`` with
``finish(tokens)``; ``RetryBudget(settings, clock)`` with ``note_request()`` and
``try_spend()``.
"""
