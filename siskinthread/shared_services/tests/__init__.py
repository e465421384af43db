"""Tests of siskinthread.shared_services."""
