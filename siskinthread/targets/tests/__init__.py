"""Tests of targets."""
