"""Stand-ins for the platform and for targets, run in tests as separate processes."""
