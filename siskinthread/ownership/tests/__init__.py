"""Tests of the ownership of model groups."""
