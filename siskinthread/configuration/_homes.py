"""History of the home hosts of the idempotency keys of a service.

The home of a key is determined by the time at which the key was issued, not by the time
of the lookup.  Otherwise, a retry that arrives after a change of placement would reach
a different host than the first attempt, which may have run the request already.
"""

from siskinthread.configuration._names import LIFETIME_LIMIT_S

# Time within which every process that follows the log has applied a change, including
# clock errors.  Keys issued within this time after a change still use the previous
# homes.
HOMES_SETTLE_S = 30
MILLISECONDS_PER_SECOND = 1000
HOMES_SETTLE_MS = HOMES_SETTLE_S * MILLISECONDS_PER_SECOND
# Maximum age of a key at the time of a lookup.
HOMES_KEPT_MS = (LIFETIME_LIMIT_S + 2 * HOMES_SETTLE_S) * MILLISECONDS_PER_SECOND


class Homes:
    """The set of homes of a service since a version of the configuration.

    Parameters
    ----------
    version : int
        Version of the configuration that introduced this set.
    changed_at_ms : int
        Log time of that version, in Unix milliseconds.
    hosts : list of str
        Sorted host names.
    """

    __slots__ = ("changed_at_ms", "hosts", "version")

    def __init__(self, version, changed_at_ms, hosts):
        self.version = version
        self.changed_at_ms = changed_at_ms
        self.hosts = hosts


def homes_for(history, issued_at_ms):
    """Return the `Homes` for keys issued at a given time.

    Parameters
    ----------
    history : list of Homes
        Oldest first; the oldest entry applies to all earlier times too.
    issued_at_ms : int
        Time of issue, in Unix milliseconds.
    """
    for homes in reversed(history[1:]):
        if homes.changed_at_ms + HOMES_SETTLE_MS < issued_at_ms:
            return homes
    return history[0]


def next_histories(histories, hosts_by_service, version, at_ms):
    """Return the histories of homes after a version.

    Parameters
    ----------
    histories : dict of str to list of Homes
        Previous histories by service; not modified.
    hosts_by_service : dict of str to list of str
        Homes of every service in the version.
    version : int
        The version.
    at_ms : int
        Log time of the version, in Unix milliseconds.

    Returns
    -------
    dict of str to list of Homes

    Notes
    -----
    A removed service keeps its history, with an empty set of homes from then on.  If
    the history were dropped, a service published again under the same name would treat
    keys whose requests had already run as new.
    """
    result = {}
    for name in sorted(histories.keys() | hosts_by_service.keys()):
        homes = Homes(version, at_ms, hosts_by_service.get(name, []))
        history = _drop_expired(_extended(histories.get(name, []), homes), at_ms)
        if name in hosts_by_service or not _is_expired(history, at_ms):
            result[name] = history
    return result


def _extended(history, homes):
    if not history:
        return [homes]
    if history[-1].hosts == homes.hosts:
        return history
    # No request ever ran under a single empty set, so the new set applies to all times.
    had_no_homes = len(history) == 1 and not history[0].hosts
    return [homes] if had_no_homes else [*history, homes]


def _drop_expired(history, at_ms):
    kept = [
        earlier
        for earlier, later in zip(history, history[1:], strict=False)
        if later.changed_at_ms >= at_ms - HOMES_KEPT_MS
    ]
    return [*kept, history[-1]]


def _is_expired(history, at_ms):
    return len(history) == 1 and history[0].changed_at_ms < at_ms - HOMES_KEPT_MS
