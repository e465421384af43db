"""The report of ``siskinthread status``."""

import collections
import json

IN_FORCE = 0
NOT_IN_FORCE = 3
NO_ANSWER = 4
NAMES_SHOWN = 5


class StatusReport:
    """Report of the configuration version in force on each host.

    Parameters
    ----------
    views : list of HostView
        Results of the queries of all hosts.
    settings : StatusSettings
        Has the age above which a view is old.
    """

    __slots__ = ("_old_view_s", "_views", "newest_version")

    def __init__(self, views, settings):
        self._views = views
        self._old_view_s = settings.old_view_s
        versions = [view.version for view in views if view.version is not None]
        self.newest_version = max(versions, default=None)

    @property
    def exit_code(self):
        """0 if all hosts are current; 3 if a host is not; 4 if a host did not answer.

        Notes
        -----
        A leaving host that answers counts like any other, since it may still finish
        requests.  A leaving host that doesn't answer is not a fault.
        """
        if self.newest_version is None or self._differ():
            return NOT_IN_FORCE
        silent = [view for view in self._silent() if not view.entry.leaving]
        return NO_ANSWER if silent else IN_FORCE

    def render(self, as_json):
        """Return the report as text, or as one JSON object."""
        if as_json:
            return json.dumps(self._as_dict(), indent=2)
        return "\n".join(self._lines())

    def _answered(self):
        return [view for view in self._views if view.status is not None]

    def _silent(self):
        return [view for view in self._views if view.status is None]

    def _differ(self):
        if self._has_two_histories():
            return True
        return any(
            view.version != self.newest_version or self._is_old(view)
            for view in self._answered()
        )

    def _has_two_histories(self):
        chains = {
            (view.status.applied_offset, view.status.chain) for view in self._answered()
        }
        return len(chains) > len({offset for offset, _ in chains})

    def _is_old(self, view):
        return view.age_s is None or view.age_s > self._old_view_s

    def _by_domain(self):
        domains = collections.defaultdict(list)
        for view in self._views:
            domains[view.entry.failure_domain].append(view)
        return dict(sorted(domains.items()))

    def _lines(self):
        current = [
            view for view in self._answered() if view.version == self.newest_version
        ]
        if self.newest_version is None:
            yield "No host that answered has a configuration."
        else:
            yield (
                f"Version {self.newest_version} is in force on {len(current)} of "
                f"{len(self._views)} hosts."
            )
        if self._has_two_histories():
            yield "Hosts hold different records at one offset: histories differ."
        for domain, views in self._by_domain().items():
            yield f"{domain}:"
            yield from self._domain_lines(views)

    def _domain_lines(self, views):
        for version, held in _by_version(views):
            name = "no configuration" if version is None else f"version {version}"
            line = f"  {name} on {len(held)} of {len(views)} hosts, {_age_text(held)}"
            is_current = version == self.newest_version
            yield line if is_current else f"{line}: {_names(held)}"
            old = [view for view in held if self._is_old(view)]
            if old and is_current:
                yield f"    old view: {_names(old)}"
        silent = [view for view in views if view.status is None]
        if silent:
            yield f"  no answer from {len(silent)} of {len(views)} hosts:"
        for view in silent[:NAMES_SHOWN]:
            leaving = ", leaving" if view.entry.leaving else ""
            yield f"    {view.entry.host} ({view.entry.role}{leaving}): {view.problem}"
        if len(silent) > NAMES_SHOWN:
            yield f"    and {len(silent) - NAMES_SHOWN} more"

    def _as_dict(self):
        return {
            "newest_version": self.newest_version,
            "histories_differ": self._has_two_histories(),
            "exit_code": self.exit_code,
            "failure_domains": {
                domain: _domain_dict(views)
                for domain, views in self._by_domain().items()
            },
            "hosts": [_host_dict(view) for view in self._views],
        }


def _by_version(views):
    """Return pairs of a version and the views that hold it, newest first."""
    versions = collections.defaultdict(list)
    for view in views:
        if view.status is not None:
            versions[view.version].append(view)
    key = lambda pair: -1 if pair[0] is None else pair[0]  # noqa: E731
    return sorted(versions.items(), key=key, reverse=True)


def _oldest_s(views):
    """Return the age of the oldest view; None if a view was never confirmed."""
    ages_s = [view.age_s for view in views]
    return None if None in ages_s else max(ages_s)


def _age_text(views):
    oldest_s = _oldest_s(views)
    if oldest_s is None:
        return "a view was never confirmed"
    return f"oldest view {oldest_s:.1f} s"


def _names(views):
    names = [view.entry.host for view in views]
    more = len(names) - NAMES_SHOWN
    return ", ".join(names[:NAMES_SHOWN]) + (f" and {more} more" if more > 0 else "")


def _domain_dict(views):
    return {
        "hosts": len(views),
        "no_answer": sum(view.status is None for view in views),
        "versions": [
            {"version": version, "hosts": len(held), "oldest_view_s": _oldest_s(held)}
            for version, held in _by_version(views)
        ],
    }


def _host_dict(view):
    entry, status = view.entry, view.status
    return {
        "host": entry.host,
        "role": entry.role,
        "failure_domain": entry.failure_domain,
        "leaving": entry.leaving,
        "version": view.version,
        "applied_offset": None if status is None else status.applied_offset,
        "view_age_s": view.age_s,
        "problem": view.problem,
    }
