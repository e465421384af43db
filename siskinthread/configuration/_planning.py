"""Computation of the change that turns the published state into that of files."""

import hashlib

from siskinthread.configuration._fold import changed_tables
from siskinthread.configuration._homes import HOMES_SETTLE_S
from siskinthread.configuration._objects import kind_of, KINDS
from siskinthread.configuration._records import Change, encode
from siskinthread.configuration._schema import plain_object, same_object
from siskinthread.configuration._state import State

DIGEST_LENGTH = 24


class Plan:
    """The differences between configuration files and a state.

    Parameters
    ----------
    added, replaced : list
        Objects that the state lacks, and objects whose fields differ from the state.
    removed : list of tuple of str
        Kind and name of each object to remove from the state.
    base_version : int
        Version of the state.
    """

    __slots__ = ("added", "base_version", "removed", "replaced")

    def __init__(self, added, replaced, removed, base_version):
        self.added = added
        self.replaced = replaced
        self.removed = removed
        self.base_version = base_version

    def is_empty(self):
        """Return whether the state already matches the files."""
        return not (self.added or self.replaced or self.removed)

    def change(self, record_id, author, message):
        """Return the `Change` that implements the plan."""
        put = self.added + self.replaced
        return Change(record_id, author, message, self.base_version, put, self.removed)


def make_plan(files, state, replace):
    """Return the `Plan` of files against a state.

    Parameters
    ----------
    files : ConfigurationFiles
        Listed objects are added or replaced, objects under ``removed`` are removed, and
        all other objects are kept.
    state : State
        Published state.
    replace : bool
        Whether to also remove unlisted objects of the kinds that the files list.
    """
    added, replaced = [], []
    for configured in files.objects:
        known = getattr(state, kind_of(configured)).get(configured.name)
        if known is None:
            added.append(configured)
        elif not same_object(configured, known):
            replaced.append(configured)
    removed = {
        (kind, name) for kind, name in files.removed if name in getattr(state, kind)
    }
    if replace:
        removed.update(_unlisted(files, state))
    return Plan(added, replaced, sorted(removed), state.version)


def planned_tables(files, state, replace):
    """Return the objects by kind and name after files are published."""
    plan = make_plan(files, state, replace)
    tables, _ = changed_tables(state, plan.change("plan", "plan", ""))
    return tables


def find_warnings(files, state, tables):
    """Return warnings about files that are to be published.

    Parameters
    ----------
    files : ConfigurationFiles
        Files to publish.
    state : State
        Published state.
    tables : dict of dict
        Objects by kind and name after the files are published.

    Returns
    -------
    list of str
        Warnings about selectors that match nothing and services whose homes change.
    """
    warnings = [str(problem) for problem in files.find_unmatched_selectors(tables)]
    moved = find_changed_homes(state, tables)
    if moved:
        warnings.append(
            f"the homes of {', '.join(moved)} change: a failure domain that is cut off "
            f"for more than {HOMES_SETTLE_S} s would go by the old ones and might run "
            "a keyed request that the others run too; it must be caught up first, or "
            "run with the strict setting refuse_unconfirmed_keys"
        )
    return warnings


def find_changed_homes(state, tables):
    """Return the names of the services whose homes would change."""
    objects = [item for table in tables.values() for item in table.values()]
    planned = State(state.version, objects)
    return [
        name
        for name in state.services
        if state.service_hosts(name)
        and state.service_hosts(name) != planned.service_hosts(name)
    ]


def publication_id(files, replace):
    """Return a digest of the content of files, identical on every run."""
    content = {
        "objects": sorted(
            encode([kind_of(item), plain_object(item)]).decode()
            for item in files.objects
        ),
        "kinds": sorted(files.kinds) if replace else [],
        "removed": sorted(files.removed),
    }
    return hashlib.sha256(encode(content)).hexdigest()[:DIGEST_LENGTH]


def _unlisted(files, state):
    listed = {(kind_of(item), item.name) for item in files.objects}
    for kind in KINDS:
        if kind in files.kinds:
            for name in getattr(state, kind):
                if (kind, name) not in listed:
                    yield kind, name
