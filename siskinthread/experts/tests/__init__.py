"""Tests of experts."""
