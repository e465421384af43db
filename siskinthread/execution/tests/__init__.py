"""Tests of execution."""
