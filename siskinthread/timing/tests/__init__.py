"""Tests of timing."""
