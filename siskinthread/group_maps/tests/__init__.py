"""Tests of the control of expert maps."""
