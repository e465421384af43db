"""Tests of outcomes."""
