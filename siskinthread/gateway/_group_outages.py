"""Outages of groups of targets.

When a rank of a group dies or is partitioned, all ranks stall and then decline each
request until the group has re-formed.  The outage is not announced, so hosts infer it
from declines, reports of ranks, answers and statements of peers.
"""

import math

from siskinthread.gateway._group_state import GroupState
from siskinthread.observability import part_logger
from siskinthread.peer_news import GroupOutageStatement
from siskinthread.timing import Deadline

# Maximum number of remembered groups; bounds the memory, as peers also send names.
GROUPS_LIMIT = 256
# Number of immediate datagrams to peers per change; one of two may be lost.
URGENT_COUNT = 2

_logger = part_logger("gateway")


class Outage:
    """Period in which no group of a service is usable.

    Parameters
    ----------
    began_at_s : float
        When the outage began, monotonic seconds.
    """

    __slots__ = ("began_at_s",)

    def __init__(self, began_at_s):
        self.began_at_s = began_at_s


class GroupOutages:
    """Tracks broken groups, and notifies listeners when they open.

    Parameters
    ----------
    settings : GatewaySettings
        Intervals and time-outs.
    clock : siskinthread.timing.Clock
        Clock for ages and deadlines.
    targets : TargetList
        The targets; those of a group are its ranks.
    health : TargetHealth
        Failures of ranks, which are forgotten when their group opens.
    progress : GroupProgress
        Knows which groups are stalled.
    metrics : siskinthread.observability.Metrics
        The registry.

    Attributes
    ----------
    group_of : callable
        Returns the name of the group of a target by its instance id, or None.

    Notes
    -----
    A stalled group counts as broken only if requests to one of its ranks fail as well.
    A change of its expert map also stalls a group, but only for some milliseconds.
    """

    __slots__ = (
        "_states",
        "_clock",
        "_health",
        "_listeners",
        "_progress",
        "_seconds",
        "_settings",
        "_stalls",
        "_targets",
        "_tests",
        "_urgent",
        "group_of",
    )

    def __init__(self, settings, clock, targets, health, progress, metrics):
        self._settings = settings
        self._clock = clock
        self._targets = targets
        self._health = health
        self._progress = progress
        self._states = {}
        # Start of the stall by group, monotonic seconds.
        self._stalls = {}
        # Deadlines, by group, until which a test request prevents another one.
        self._tests = {}
        # Number of immediate datagrams still to be sent to peers, by group.
        self._urgent = {}
        self._listeners = []
        self.group_of = _no_group
        progress.listen(self.note_served)
        broken = metrics.gauge("gateway_broken_groups", "Groups believed broken.")
        broken.set_function(lambda: len(self.broken_groups()))
        self._seconds = metrics.histogram(
            "gateway_group_outage_seconds",
            "Time from the first sign that a group is broken until it is known open.",
        )

    def listen(self, callback):
        """Register a callback for the name of each group that becomes usable again."""
        self._listeners.append(callback)

    def is_broken(self, group):
        """Return whether a group is considered broken."""
        state = self._states.get(group)
        return state is not None and state.is_broken

    def broken_groups(self):
        """Return the groups that are considered broken."""
        return [group for group, one in self._states.items() if one.is_broken]

    def began_s_ago(self, group):
        """Return the time since a group broke, seconds; None if it is not broken."""
        if not self.is_broken(group):
            return None
        return self._clock.monotonic_s() - self._states[group].began_at_s

    def service_outage(self, service_name):
        """Return the `Outage` of a service without a usable group, or None."""
        entries = self._targets.serving(service_name)
        groups = {self.group_of(entry.instance_id) for entry in entries}
        if not groups or None in groups:
            return None
        begins_s = [self._unusable_since_s(group) for group in groups]
        return None if None in begins_s else Outage(max(begins_s))

    def is_reported(self, group):
        """Return whether a recent report states that a group is broken."""
        state = self._states.get(group)
        if state is None or not state.is_broken:
            return False
        age_s = self._clock.monotonic_s() - state.reported_at_s
        return age_s < self._settings.outage_reported_s

    def may_test(self, group):
        """Return whether a group may get a request if no other group is usable."""
        if not self.is_broken(group):
            return True
        test = self._tests.get(group)
        return not self.is_reported(group) and (test is None or test.passed())

    def is_test_due(self, group):
        """Return whether a test request is due although other groups are usable."""
        seen_s_ago = self._clock.monotonic_s() - self._states[group].seen_at_s
        is_old = seen_s_ago >= self._settings.group_ejection_s
        return is_old and self.may_test(group)

    def note_sent(self, group):
        """Note that a request is sent to a group; if it is broken, as a test."""
        if self.is_broken(group):
            wait_s = self._settings.outage_test_limit_s
            self._tests[group] = Deadline.after(self._clock, wait_s)

    def note_ended(self, group):
        """Note that a request to a group has ended."""
        self._tests.pop(group, None)

    def note_declined(self, group, sent_at_s=math.inf):
        """Note that a rank of a group declined a request because another rank failed.

        Parameters
        ----------
        group : str or None
            The group; None is ignored.
        sent_at_s : float
            When the request was sent, monotonic seconds.  The decline of a request that
            was sent before the group opened is ignored.
        """
        if group is None:
            return
        state = self._state(group)
        if not state.is_broken and sent_at_s < state.learnt_at_s:
            return
        if not state.is_broken or state.is_suspected:
            self._break(group, "a decline", None)
        state.is_own = True
        state.seen_at_s = self._clock.monotonic_s()

    def note_served(self, group, sent_at_s=math.inf):
        """Note that a rank of a group has answered a request sent at `sent_at_s`."""
        if not self.is_broken(group):
            return
        state = self._states[group]
        if sent_at_s > state.seen_at_s:
            self._open(group, None, "an answer", self._clock.monotonic_s())

    def note_opened(self, group, epoch, told_by):
        """Note that a group is open.

        Parameters
        ----------
        group : str
            The group.
        epoch : int or None
            Present epoch of the group, if known.
        told_by : str
            Origin of the evidence, for the log.
        """
        self._open(group, epoch, told_by, self._clock.monotonic_s())

    def note_report(self, report, observed_at_s):
        """Process a rank's report of the state of its group.

        Parameters
        ----------
        report : siskinthread.group_maps.RankReport
            The report.
        observed_at_s : float
            Time to which the report applies, monotonic seconds: the time of the query
            less the lag of reports.
        """
        group = report.group_name
        state = self._state(group)
        if not report.is_open:
            self._note_broken_report(state, report, observed_at_s)
        elif not state.is_broken:
            state.note_epoch(report.epoch, self._clock.monotonic_s())
        elif state.is_ended_by_report(report.epoch, observed_at_s):
            self._open(group, report.epoch, "a report", observed_at_s)
        elif state.epoch is None:
            # The group was open in this epoch just before it broke.
            state.epoch = report.epoch

    def hear(self, statements, told_by):
        """Process each `GroupOutageStatement` of a peer."""
        for statement in statements:
            seen_at_s = self._clock.monotonic_s() - statement.age_s
            if statement.is_open:
                self._note_peer_open(statement, seen_at_s, told_by)
            else:
                self._note_peer_broken(statement, seen_at_s, told_by)

    def statements(self):
        """Return the list of `GroupOutageStatement` to send to peers."""
        oldest_s = self._clock.monotonic_s() - self._settings.outage_told_s
        own = [
            (group, state)
            for group, state in self._states.items()
            if state.is_own and max(state.seen_at_s, state.learnt_at_s) > oldest_s
        ]
        own.sort(key=lambda one: -one[1].learnt_at_s)
        return [self._statement(group, state) for group, state in own]

    def take_urgent(self):
        """Return the statements to be sent to all peers immediately."""
        urgent = self._urgent
        self._urgent = {one: left - 1 for one, left in urgent.items() if left > 1}
        return [one for one in self.statements() if one.group_name in urgent]

    def refresh(self):
        """Update which groups are stalled, and forget outages without new evidence."""
        ranks = self._ranks_by_group()
        for group, ids in ranks.items():
            if self._progress.is_stalled(group):
                self._note_stalled(group, ids)
            elif group in self._stalls:
                self._note_moving(group)
        oldest_s = self._clock.monotonic_s() - self._settings.outage_forgotten_s
        for group in self.broken_groups():
            if self._states[group].seen_at_s < oldest_s:
                del self._states[group]
                _logger.event("broken group forgotten", group=group)

    def _state(self, group):
        state = self._states.get(group)
        if state is None:
            if len(self._states) >= GROUPS_LIMIT:
                oldest = min(self._states, key=lambda one: self._last_s(one))
                del self._states[oldest]
            state = self._states[group] = GroupState(self._settings.outage_told_s)
        return state

    def _last_s(self, group):
        return self._states[group].learnt_at_s

    def _unusable_since_s(self, group):
        if self.is_broken(group):
            return self._states[group].began_at_s
        if self._progress.is_stalled(group):
            return self._stalls.setdefault(group, self._clock.monotonic_s())
        return None

    def _note_broken_report(self, state, report, observed_at_s):
        group, epoch = report.group_name, report.epoch
        if not state.is_broken or state.is_suspected:
            if not state.is_begun_by_report(epoch, observed_at_s):
                return
            self._break(group, "a report", epoch)
        if not self.is_reported(group):
            self._urgent[group] = URGENT_COUNT
        state.is_own = True
        state.epoch = epoch
        state.reported_at_s = self._clock.monotonic_s()
        state.seen_at_s = max(state.seen_at_s, observed_at_s)

    def _note_peer_open(self, statement, seen_at_s, told_by):
        group, epoch = statement.group_name, statement.epoch
        state = self._state(group)
        if not state.is_broken:
            state.note_epoch(epoch, self._clock.monotonic_s())
        elif state.is_ended_by_peer(epoch, seen_at_s):
            self._open(group, epoch, told_by, seen_at_s, is_own=False)

    def _note_peer_broken(self, statement, seen_at_s, told_by):
        group, epoch = statement.group_name, statement.epoch
        state = self._state(group)
        now_s = self._clock.monotonic_s()
        if not state.is_broken:
            if not state.is_begun_by_peer(epoch, seen_at_s, now_s):
                return
            self._break(group, told_by, epoch, now_s - statement.since_s)
            state.is_own = False
        state.is_suspected = False
        state.seen_at_s = max(state.seen_at_s, seen_at_s)
        if state.epoch is None:
            state.epoch = epoch
        if statement.is_reported:
            state.reported_at_s = max(state.reported_at_s, seen_at_s)

    def _break(self, group, told_by, epoch, began_at_s=None):
        state = self._state(group)
        now_s = self._clock.monotonic_s()
        if began_at_s is None:
            began_at_s = self._stalls.get(group, now_s)
        state.note_broken(epoch, began_at_s, now_s)
        _logger.event(
            "group broken",
            group=group,
            epoch=epoch,
            told_by=told_by,
            since_s=round(now_s - state.began_at_s, 3),
        )

    def _open(self, group, epoch, told_by, seen_at_s, is_own=True):
        state = self._state(group)
        now_s = self._clock.monotonic_s()
        if not state.note_open(epoch, seen_at_s, now_s):
            return
        state.is_own = is_own
        if is_own:
            self._urgent[group] = URGENT_COUNT
        self._tests.pop(group, None)
        lasted_s = now_s - state.began_at_s
        self._seconds.observe(lasted_s)
        _logger.event(
            "group open again",
            group=group,
            epoch=state.epoch,
            told_by=told_by,
            seen_s_ago=round(now_s - seen_at_s, 3),
            lasted_s=round(lasted_s, 3),
        )
        self._forget_failures(group, state.began_at_s)
        self._notify(group)

    def _forget_failures(self, group, began_at_s):
        """Forget failures of the ranks of an opened group that the outage caused."""
        since_s = began_at_s - self._settings.outage_lead_s
        for instance_id in self._ranks_by_group().get(group, ()):
            self._health.forget_since(instance_id, since_s)
        self._progress.group_opened(group)
        self._stalls.pop(group, None)

    def _note_stalled(self, group, ids):
        now_s = self._clock.monotonic_s()
        self._stalls.setdefault(group, now_s)
        if self.is_broken(group):
            if self._states[group].is_suspected:
                self._states[group].seen_at_s = now_s
            return
        if any(self._health.is_ejected(one) for one in ids):
            self._break(group, "a stall with a failed rank", None)
            state = self._states[group]
            state.is_suspected = True
            state.is_own = False
            state.seen_at_s = now_s

    def _note_moving(self, group):
        """Note that a group is no longer stalled."""
        if not self.is_broken(group):
            del self._stalls[group]
            self._notify(group)
        elif self._states[group].is_suspected:
            self._open(group, None, "the end of its stall", self._clock.monotonic_s())

    def _ranks_by_group(self):
        """Return the instance ids of the targets of each group."""
        ranks = {}
        for entry in self._targets.entries():
            group = self.group_of(entry.instance_id)
            if group is not None:
                ranks.setdefault(group, []).append(entry.instance_id)
        return ranks

    def _statement(self, group, state):
        now_s = self._clock.monotonic_s()
        mark = 0
        if state.is_broken and state.reported_at_s > 0:
            # Changes twice within the validity of a report, so that peers receive the
            # statement again before their knowledge expires.
            mark = int(2 * state.reported_at_s / self._settings.outage_reported_s)
        return GroupOutageStatement(
            group,
            state.epoch,
            now_s - state.began_at_s if state.is_broken else None,
            max(0.0, now_s - state.seen_at_s),
            self.is_reported(group),
            mark,
        )

    def _notify(self, group):
        for callback in self._listeners:
            callback(group)


def _no_group(instance_id):
    return None
