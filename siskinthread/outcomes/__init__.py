"""Outcomes of requests and the events of a response, as values."""

from siskinthread.outcomes._events import End, Head, Part
from siskinthread.outcomes._outcome import Outcome, Reason

__all__ = ["End", "Head", "Outcome", "Part", "Reason"]
