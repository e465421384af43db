"""Tests of observability."""
