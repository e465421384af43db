"""Tests of supervision."""
