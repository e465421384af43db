"""Tests of siskinthread.control."""
