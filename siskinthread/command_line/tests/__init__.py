"""Tests of command_line."""
