"""Settings of the whole test suite."""

from hypothesis import HealthCheck, settings

# How fast examples are drawn depends on the machine's load; failing on it would give
# the same code different verdicts.
settings.register_profile(
    "siskinthread", suppress_health_check=[HealthCheck.too_slow], derandomize=True
)
settings.load_profile("siskinthread")
