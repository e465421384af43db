"""Tests of the audit trail."""
