"""Tests of the news between entry hosts."""
