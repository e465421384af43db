"""Stand-ins for the platform and the targets; separate processes for tests."""
