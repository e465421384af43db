"""Tests of the budgets of retries."""
