"""Tests of the guard against requests that crash targets."""
