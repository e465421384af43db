"""The hosts that this process believes in."""

from siskinthread.membership._declared import DeclaredEntries
from siskinthread.membership._shrinking import ShrinkJudge
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

AGENT_ROLE = "agent"
ENTRY_ROLE = "entry"

_logger = part_logger("membership")


def _never_connected(host):
    return False


class MembershipView:
    """The hosts of the host list, kept through the list's faults.

    Parameters
    ----------
    settings : MembershipSettings
        How far the list is believed.
    clock : siskinthread.timing.Clock
        Clock of the deadlines.
    is_connected : callable or None
        Tells for the name of a host whether its link is alive.  It can be set later,
        as the attribute `is_connected`.

    Notes
    -----
    Absence from the list is weak evidence: the list lags, has outages, and an answer
    may be cut short.  An empty answer is never believed, since the asking host itself
    is on a true list.  An answer without too many of the hosts at once (see
    `ShrinkJudge`) drops nobody until ``shrunken_hold_s`` has passed, and then only
    hosts whose links are dead too.  Without this, one bad answer would close the links
    to healthy targets; one would notice refusals ``no_target`` while every agent runs.
    """

    __slots__ = (
        "_agents",
        "_clock",
        "_declared",
        "_entries",
        "_held",
        "_judge",
        "_known",
        "_listeners",
        "_settings",
        "_settled_answer",
        "is_connected",
    )

    def __init__(self, settings, clock, is_connected=None):
        self._settings = settings
        self._clock = clock
        self._known = {}
        self._held = {}
        # The client returns the same object while the list is unchanged.
        self._settled_answer = None
        self._agents = {}
        self._entries = {}
        self._listeners = []
        self._judge = ShrinkJudge(settings, clock)
        self._declared = DeclaredEntries(settings, clock)
        self.is_connected = is_connected or _never_connected

    def agents(self):
        """Return the dict of host name to `HostEntry` of the agents."""
        return self._agents

    def entries(self):
        """Return the dict of host name to `HostEntry` of the entry hosts."""
        return self._entries

    def declared_entry_count(self):
        """Return the largest number of entry hosts within ``entry_memory_s``."""
        return self._declared.count()

    def is_leaving(self, host):
        """Return whether a host shall get no new work.

        True also for a host that a plausible list dropped; a host never heard of is
        not leaving.
        """
        held = self._held.get(host)
        if held is not None and held.plausible:
            return True
        entry = self._known.get(host)
        return entry is not None and entry.leaving

    def failure_domain(self, host):
        """Return the failure domain of a host, None if it is unknown."""
        entry = self._known.get(host)
        return None if entry is None else entry.failure_domain

    def listen(self, callback):
        """Call `callback(view)` after each change."""
        self._listeners.append(callback)

    def replace(self, entries):
        """Take in an answer of the host list.

        Parameters
        ----------
        entries : list of siskinthread.shared_services.HostEntry
            The whole answer.

        Returns
        -------
        bool
            Whether the answer was plausible.
        """
        if not entries:
            return False
        if entries is self._settled_answer:
            return True
        listed = {entry.host: entry for entry in entries}
        plausible = self._judge.plausible(self._known, listed)
        before = self._known
        held_before = self._held
        self._held = self._hold_missing(listed, plausible)
        self._known = listed | {host: before[host] for host in self._held}
        self._judge.note_removals(len(before.keys() - self._known.keys()))
        self._split_by_role()
        if _differ(before, self._known) or _held_differ(held_before, self._held):
            self._tell_listeners()
        self._settled_answer = entries if plausible and not self._held else None
        return plausible

    def _hold_missing(self, listed, plausible):
        held = {}
        for host, entry in self._known.items():
            if host in listed:
                continue
            hold = self._held.get(host) or self._new_hold(entry, plausible)
            if self._keeps(host, hold):
                held[host] = hold
        return held

    def _new_hold(self, entry, plausible):
        settings = self._settings
        wait_s = settings.removal_grace_s if plausible else settings.shrunken_hold_s
        if not plausible:
            _logger.warning("Implausible list lacks %s; it is kept.", entry.host)
        return _Hold(Deadline.after(self._clock, wait_s), plausible)

    def _keeps(self, host, hold):
        connected = self.is_connected(host)
        if hold.plausible:
            return connected and not hold.deadline.passed()
        return connected or not hold.deadline.passed()

    def _split_by_role(self):
        self._agents = self._with_role(AGENT_ROLE)
        self._entries = self._with_role(ENTRY_ROLE)
        self._declared.note(self._entries)

    def _with_role(self, role):
        return {
            host: entry for host, entry in self._known.items() if entry.role == role
        }

    def _tell_listeners(self):
        for callback in self._listeners:
            callback(self)


class _Hold:
    """A host that is kept although the list lacks it."""

    __slots__ = ("deadline", "plausible")

    def __init__(self, deadline, plausible):
        self.deadline = deadline
        self.plausible = plausible


def _differ(before, after):
    if before.keys() != after.keys():
        return True
    return any(_fields(before[host]) != _fields(after[host]) for host in after)


def _fields(entry):
    return entry.role, entry.address, entry.port, entry.failure_domain, entry.leaving


def _held_differ(before, after):
    return _plausibly_held(before) != _plausibly_held(after)


def _plausibly_held(held):
    return {host for host, hold in held.items() if hold.plausible}
