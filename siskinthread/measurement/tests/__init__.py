"""Tests of measurement."""
