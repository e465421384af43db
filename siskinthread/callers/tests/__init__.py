"""Tests of callers."""
