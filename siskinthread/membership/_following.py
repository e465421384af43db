"""The task that polls the host list."""

import curio

from siskinthread.errors import PlatformUnavailableError
from siskinthread.observability import part_logger

_logger = part_logger("membership")


async def follow_host_list(client, view, settings, clock, metrics):
    """Poll the host list into a view until cancelled.

    Parameters
    ----------
    client : siskinthread.shared_services.HostListClient
        Client of the host list.
    view : MembershipView
        The view to update.
    settings : siskinthread.shared_services.PlatformSettings
        ``host_list_interval_s``, the pause between two polls.
    clock : siskinthread.timing.Clock
        Clock for the reported age of the list.
    metrics : siskinthread.observability.Metrics
        Registry for the count of answers and the age of the list.
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
        judgement = await _poll_once(client, view)
        if judgement == "plausible":
            fresh_at_s = clock.monotonic_s()
        if available != (judgement != "unavailable"):
            available = not available
            _logger.warning("Host list is %s.", judgement)
        answers.labels(judgement).inc()
        age.set(clock.monotonic_s() - fresh_at_s)
        await curio.sleep(settings.host_list_interval_s)


async def _poll_once(client, view):
    try:
        entries = await client.fetch()
    except PlatformUnavailableError:
        return "unavailable"
    return "plausible" if view.replace(entries) else "implausible"
