"""Stand-ins that the cases of the review start as processes."""
