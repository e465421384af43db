"""Target entries, settings and a clock for tests of single components."""

from siskinthread.gateway import GatewaySettings, TargetEntry
from siskinthread.timing import ManualClock

SETTINGS = GatewaySettings(lapse_grace_s=2.0, ejection_s=1.0, ejection_limit_s=4.0)


def entry(
    instance_id, service="app", is_leaving=False, domain="a", slots=6, listed_id=None
):
    """Return an entry of the target list."""
    return TargetEntry(
        instance_id, service, "127.0.0.1", 1, domain, slots, is_leaving, listed_id
    )


def ids(entries):
    """Return the instance ids of entries."""
    return [one.instance_id for one in entries]


def clock():
    """Return a clock that the test advances."""
    return ManualClock()
