"""Thin daemons: entry and agent."""
