"""The hosts of the fleet as this process sees them."""

from siskinthread.membership._entry_host_count import EntryHostCount
from siskinthread.membership._shrinking import ShrinkCheck
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

AGENT_ROLE = "agent"
ENTRY_ROLE = "entry"

_logger = part_logger("membership")


def _never_connected(host):
    return False


class MembershipView:
    """The hosts of the host list, robust against faults of the list.

    Parameters
    ----------
    settings : MembershipSettings
        Limits on removals.
    clock : siskinthread.timing.Clock
        Clock for the deadlines.
    is_connected : callable or None
        Takes the name of a host and returns whether its link is alive.  It can be set
        later, as the attribute `is_connected`.

    Notes
    -----
    Absence from the list is weak evidence: the list lags, has outages, and an answer
    may be truncated.  An empty answer is always rejected, since a correct list contains
    at least the requesting host.  An answer that lacks too many hosts (see
    `ShrinkCheck`) removes no host until ``shrunken_hold_s`` has passed, and then only
    hosts whose links are dead too.  Without this rule, a single bad answer would close
    the links to healthy targets, and requests would be refused with ``no_target``
    while every agent runs.
    """

    __slots__ = (
        "_agents",
        "_clock",
        "_entry_host_count",
        "_entries",
        "_held",
        "_shrink_check",
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
        # The client returns the same object while the list is unchanged, so that an
        # unchanged answer needs no processing.
        self._settled_answer = None
        self._agents = {}
        self._entries = {}
        self._listeners = []
        self._shrink_check = ShrinkCheck(settings, clock)
        self._entry_host_count = EntryHostCount(settings, clock)
        self.is_connected = is_connected or _never_connected

    def agents(self):
        """Return the dict of host name to `HostEntry` of the agents."""
        return self._agents

    def entries(self):
        """Return the dict of host name to `HostEntry` of the entry hosts."""
        return self._entries

    def entry_host_count(self):
        """Return the number of present and recently vanished entry hosts.

        A vanished entry host counts for ``entry_memory_s``.
        """
        return self._entry_host_count.count()

    def is_leaving(self, host):
        """Return whether a host must not get new work.

        True also for a host that is kept although it is missing from a plausible list.
        False for an unknown host.
        """
        held = self._held.get(host)
        if held is not None and held.is_plausible:
            return True
        entry = self._known.get(host)
        return entry is not None and entry.leaving

    def failure_domain(self, host):
        """Return the failure domain of a host, or None if the host is unknown."""
        entry = self._known.get(host)
        return None if entry is None else entry.failure_domain

    def listen(self, callback):
        """Call `callback(view)` after each change."""
        self._listeners.append(callback)

    def replace(self, entries):
        """Apply an answer of the host list.

        Parameters
        ----------
        entries : list of siskinthread.shared_services.HostEntry
            All hosts of the answer.

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
        is_plausible = self._shrink_check.is_plausible(self._known, listed)
        before = self._known
        held_before = self._held
        self._held = self._hold_missing(listed, is_plausible)
        self._known = listed | {host: before[host] for host in self._held}
        self._shrink_check.note_removals(len(before.keys() - self._known.keys()))
        self._split_by_role()
        if _differ(before, self._known) or _held_differ(held_before, self._held):
            self._notify_listeners()
        self._settled_answer = entries if is_plausible and not self._held else None
        return is_plausible

    def _hold_missing(self, listed, is_plausible):
        held = {}
        for host, entry in self._known.items():
            if host in listed:
                continue
            hold = self._held.get(host) or self._new_hold(entry, is_plausible)
            if self._should_keep(host, hold):
                held[host] = hold
        return held

    def _new_hold(self, entry, is_plausible):
        settings = self._settings
        wait_s = settings.removal_grace_s if is_plausible else settings.shrunken_hold_s
        if not is_plausible:
            _logger.warning(
                "Host %s is missing from an implausible host list; keeping it.",
                entry.host,
            )
        return _Hold(Deadline.after(self._clock, wait_s), is_plausible)

    def _should_keep(self, host, hold):
        connected = self.is_connected(host)
        if hold.is_plausible:
            return connected and not hold.deadline.passed()
        return connected or not hold.deadline.passed()

    def _split_by_role(self):
        self._agents = self._with_role(AGENT_ROLE)
        self._entries = self._with_role(ENTRY_ROLE)
        self._entry_host_count.note(self._entries)

    def _with_role(self, role):
        return {
            host: entry for host, entry in self._known.items() if entry.role == role
        }

    def _notify_listeners(self):
        for callback in self._listeners:
            callback(self)


class _Hold:
    """A host that is kept although it is missing from the list.

    Parameters
    ----------
    deadline : Deadline
        When the grace period of the host ends.
    is_plausible : bool
        Whether the first list that lacked the host was plausible.
    """

    __slots__ = ("deadline", "is_plausible")

    def __init__(self, deadline, is_plausible):
        self.deadline = deadline
        self.is_plausible = is_plausible


def _differ(before, after):
    if before.keys() != after.keys():
        return True
    return any(
        _field_values(before[host]) != _field_values(after[host]) for host in after
    )


def _field_values(entry):
    return entry.role, entry.address, entry.port, entry.failure_domain, entry.leaving


def _held_differ(before, after):
    return _hosts_held_plausibly(before) != _hosts_held_plausibly(after)


def _hosts_held_plausibly(held):
    return {host for host, hold in held.items() if hold.is_plausible}
