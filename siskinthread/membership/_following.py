"""The task that follows the host list."""

import curio

from siskinthread.errors import PlatformUnavailableError
from siskinthread.observability import part_logger

_logger = part_logger("membership")


async def follow_host_list(client, view, settings, clock, metrics):
    """Read the host list again and again into a view; runs until cancelled.

    Parameters
    ----------
    client : siskinthread.shared_services.HostListClient
        Client of the list.
    view : MembershipView
        The view to keep.
    settings : siskinthread.shared_services.PlatformSettings
        ``host_list_interval_s``.
    clock : siskinthread.timing.Clock
        Clock of the age that the metric shows.
    metrics : siskinthread.observability.Metrics
        Registry.
    """
    answers = metrics.counter(
        "membership_answers", "Answers of the host list by judgement.", ["judgement"]
    )
    age = metrics.gauge(
        "membership_list_age_seconds", "Time since the last plausible host list."
    )
    fresh_at_s = clock.monotonic_s()
    available = True
    while True:
        judgement = await _read_once(client, view)
        if judgement == "plausible":
            fresh_at_s = clock.monotonic_s()
        if available != (judgement != "unavailable"):
            available = not available
            _logger.warning("Host list is %s.", judgement)
        answers.labels(judgement).inc()
        age.set(clock.monotonic_s() - fresh_at_s)
        await curio.sleep(settings.host_list_interval_s)


async def _read_once(client, view):
    try:
        entries = await client.fetch()
    except PlatformUnavailableError:
        return "unavailable"
    return "plausible" if view.replace(entries) else "implausible"
