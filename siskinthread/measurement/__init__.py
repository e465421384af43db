"""Measurements that the requirements name."""
