"""Tests of the guard against requests under which targets end."""
