"""Tests of siskinthread."""
