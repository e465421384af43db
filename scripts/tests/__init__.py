"""Tests of modules that several scripts and the whole test suite use."""
