"""Tests of documents."""
