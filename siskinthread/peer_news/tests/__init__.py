"""Tests of the gossip between entry hosts."""
