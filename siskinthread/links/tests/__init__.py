"""Tests of links."""
