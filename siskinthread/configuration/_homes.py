"""Which hosts were the homes of a service's idempotency keys, and when.

The home of a key goes by the time at which the key was issued and not by the moment of
asking.  Otherwise a retry that arrives after a change of placement would reach another
host than the first try, which may have run the request there.
"""

from siskinthread.configuration._names import LIFETIME_LIMIT_S

# Time within which every process that follows the log knows of a change, errors of the
# clocks included.  Keys issued within it after a change still go by the earlier homes.
HOMES_SETTLE_S = 30
MILLISECONDS_PER_SECOND = 1000
HOMES_SETTLE_MS = HOMES_SETTLE_S * MILLISECONDS_PER_SECOND
# No key is older when it's asked about.
HOMES_KEPT_MS = (LIFETIME_LIMIT_S + 2 * HOMES_SETTLE_S) * MILLISECONDS_PER_SECOND


class Homes:
    """One set of homes of a service.

    Parameters
    ----------
    version : int
        Version of the configuration that made it.
    changed_at_ms : int
        The log's time of that version, Unix milliseconds.
    hosts : list of str
        Names of the hosts, sorted.
    """

    __slots__ = ("changed_at_ms", "hosts", "version")

    def __init__(self, version, changed_at_ms, hosts):
        self.version = version
        self.changed_at_ms = changed_at_ms
        self.hosts = hosts


def homes_for(history, issued_at_ms):
    """Return the `Homes` of the keys that were issued at a time.

    Parameters
    ----------
    history : list of Homes
        Oldest first; the first ones count from the beginning.
    issued_at_ms : int
        Unix milliseconds.
    """
    for homes in reversed(history[1:]):
        if homes.changed_at_ms + HOMES_SETTLE_MS < issued_at_ms:
            return homes
    return history[0]


def next_histories(histories, hosts_by_service, version, at_ms):
    """Return the histories after a version.

    Parameters
    ----------
    histories : dict of str to list of Homes
        By service; they aren't changed.
    hosts_by_service : dict of str to list of str
        Homes of every service that the version has.
    version, at_ms : int
        The version and the log's time of it.

    Notes
    -----
    A removed service has an empty set from then on.  If its history went with it, a
    service published again under its name would take keys as new that had run before.
    """
    result = {}
    for name in sorted(histories.keys() | hosts_by_service.keys()):
        homes = Homes(version, at_ms, hosts_by_service.get(name, []))
        history = _recent(_extended(histories.get(name, []), homes), at_ms)
        if name in hosts_by_service or not _is_over(history, at_ms):
            result[name] = history
    return result


def _extended(history, homes):
    if not history:
        return [homes]
    if history[-1].hosts == homes.hosts:
        return history
    # Nothing ever ran under a single empty set, so no earlier homes count.
    never_any = len(history) == 1 and not history[0].hosts
    return [homes] if never_any else [*history, homes]


def _recent(history, at_ms):
    kept = [
        earlier
        for earlier, later in zip(history, history[1:], strict=False)
        if later.changed_at_ms >= at_ms - HOMES_KEPT_MS
    ]
    return [*kept, history[-1]]


def _is_over(history, at_ms):
    return len(history) == 1 and history[0].changed_at_ms < at_ms - HOMES_KEPT_MS
