"""Configuration of the whole test suite."""

import curio
import pytest
from hypothesis import HealthCheck, settings

from scripts import _running_clock

# The speed of example generation depends on the load of the machine, so this health
# check would make the result of the same code vary.
settings.register_profile(
    "siskinthread", suppress_health_check=[HealthCheck.too_slow], derandomize=True
)
settings.load_profile("siskinthread")


def pytest_configure(config):
    """Register the markers of this suite."""
    config.addinivalue_line(
        "markers", "running_clock: leave out time in which the process did not run"
    )


@pytest.fixture(autouse=True)
def exclude_process_pauses(request, monkeypatch):
    """Run tests marked ``running_clock`` on a clock that excludes process pauses.

    A process pause is time in which the test process was not running.  Only tests that
    run a whole fleet in their own process are marked: a pause stops all of its hosts,
    servers and callers together and must not count as a failure of any of them.
    """
    if request.node.get_closest_marker("running_clock") is not None:
        monkeypatch.setattr(curio, "run", _running_clock.run)
