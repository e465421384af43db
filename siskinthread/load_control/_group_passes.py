"""Finds the groups of targets with clearly longer forward passes."""

import math

from siskinthread.observability import part_logger

_logger = part_logger("load_control")

# Requests per slot of a nearly idle group: less than one of 20 slots in use.
MIN_LOAD = 0.05
# Time for which the result is cached, seconds; a pass takes 0.03 s to 0.1 s.
SLOW_GROUPS_CACHE_S = 0.05
# Time for which the groups of a service are cached, seconds; replacing a group takes
# seconds.
GROUPS_CACHE_S = 1.0


class _CachedGroups:
    """Cached groups of a service and the slow ones among them, with expiry times."""

    __slots__ = ("groups", "groups_expire_at_s", "slow", "slow_expire_at_s")

    def __init__(self):
        self.groups = frozenset()
        self.groups_expire_at_s = -math.inf
        self.slow = frozenset()
        self.slow_expire_at_s = -math.inf


class GroupPasses:
    """Compares the forward pass times of the groups of a service.

    Parameters
    ----------
    settings : SpeedSettings
        Ratio above which passes count as clearly longer.
    clock : siskinthread.timing.Clock
        Clock of the passes.
    progress : GroupProgress
        Measured passes.

    Notes
    -----
    The load of single ranks says little about a group, because all of its ranks wait
    for the slowest one. If one group gets all requests, its passes become longer until
    the groups are alike and the load decides again. A group whose passes are longer by
    no more than the ratio of its load to that of the fastest group is not slow: with n
    times the requests, a pass takes at most n times as long.
    """

    __slots__ = ("_cache", "_clock", "_progress", "_settings", "_views")

    def __init__(self, settings, clock, progress):
        self._clock = clock
        self._settings = settings
        self._progress = progress
        self._views = {}
        self._cache = {}

    def slow_groups(self, service_name, get_loads):
        """Return the groups with clearly longer passes than the fastest one, as a set.

        Parameters
        ----------
        service_name : str
            The service.
        get_loads : callable
            Returns the mean requests per slot by group of the service. It is called
            only rarely while no group is slow, since a service may have hundreds of
            targets.
        """
        if not self._settings.is_enabled:
            return frozenset()
        now_s = self._clock.monotonic_s()
        cached = self._cache.setdefault(service_name, _CachedGroups())
        if now_s >= cached.groups_expire_at_s:
            cached.groups = frozenset(get_loads())
            cached.groups_expire_at_s = now_s + GROUPS_CACHE_S
            self._drop_views()
        if now_s >= cached.slow_expire_at_s:
            slow = self._find_slow(cached.groups, get_loads, now_s)
            if slow != cached.slow:
                _logger.event("slow groups changed", slow=sorted(slow))
            cached.slow = slow
            cached.slow_expire_at_s = now_s + SLOW_GROUPS_CACHE_S
        return cached.slow

    def _drop_views(self):
        """Drop the views of groups that have been replaced."""
        present = frozenset().union(*(cached.groups for cached in self._cache.values()))
        self._views = {name: self._views[name] for name in self._views.keys() & present}

    def _find_slow(self, groups, get_loads, now_s):
        if len(groups) < 2:
            return frozenset()
        passes_s = {group: self._pass_s(group, now_s) for group in groups}
        passes_s = {group: pass_s for group, pass_s in passes_s.items() if pass_s}
        if len(passes_s) < 2:
            return frozenset()
        fastest = min(passes_s, key=passes_s.get)
        limit_s = passes_s[fastest] * self._settings.pass_ratio
        if max(passes_s.values()) <= limit_s:
            return frozenset()
        loads = get_loads()
        least_load = max(loads.get(fastest, 0.0), MIN_LOAD)
        return frozenset(
            group
            for group, pass_s in passes_s.items()
            if pass_s > limit_s * max(1.0, loads.get(group, 0.0) / least_load)
        )

    def _pass_s(self, group, now_s):
        """Return the current time of a pass, seconds, or None without any report."""
        view = self._views.get(group)
        if view is None:
            view = self._views[group] = self._progress.pass_view(group)
        if view.current_s(now_s) is None:
            return None
        return view.usual_s
