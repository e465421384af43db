"""Tests of group maps."""
