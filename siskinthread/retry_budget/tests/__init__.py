"""Tests of the retry budgets."""
