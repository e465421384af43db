"""Tests of tracing."""
