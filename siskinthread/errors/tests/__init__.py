"""Tests of errors."""
