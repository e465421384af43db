"""Which groups of targets are broken, from what shows it to what ends it.

When a rank of a group dies or is cut off, all ranks stall and then decline each request
until the group has re-formed.  Nobody announces that, so that hosts go by declines,
reports of ranks, answers and each other's word.
"""

import math

from siskinthread.gateway._group_state import GroupState
from siskinthread.observability import part_logger
from siskinthread.peer_news import GroupOutageStatement
from siskinthread.timing import Deadline

# Groups that are remembered; names come from peers too.
GROUPS_LIMIT = 256
# How often peers are told at once; one of two datagrams may be lost.
URGENT_COUNT = 2

_logger = part_logger("gateway")


class Outage:
    """That no group of a service is usable.

    Parameters
    ----------
    began_at_s : float
        Since when, monotonic seconds.
    """

    __slots__ = ("began_at_s",)

    def __init__(self, began_at_s):
        self.began_at_s = began_at_s


class GroupOutages:
    """Knows broken groups, and tells when they open.

    Parameters
    ----------
    settings : GatewaySettings
        Times.
    clock : siskinthread.timing.Clock
        Clock of the times.
    targets : TargetList
        The targets; those of a group are its ranks.
    health : TargetHealth
        Failures of ranks, which are forgotten as their group opens.
    progress : GroupProgress
        Which groups stand still.
    metrics : siskinthread.observability.Metrics
        The registry.

    Attributes
    ----------
    group_of : callable
        Returns the name of the group of a target by its instance id, or None.

    Notes
    -----
    A group that stands still counts as broken only if some rank of it fails besides.  A
    map change holds a group too, and ends within milliseconds.
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
        # Since when groups stand still, monotonic seconds.
        self._stalls = {}
        # Until when a request that tests a broken group bars another one.
        self._tests = {}
        # How many more times peers should be told at once, by group.
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
        """Call `callback` with the name of a group that opens or moves again."""
        self._listeners.append(callback)

    def is_broken(self, group):
        """Return whether a group is believed broken."""
        state = self._states.get(group)
        return state is not None and state.is_broken

    def broken_groups(self):
        """Return the groups that are believed broken."""
        return [group for group, one in self._states.items() if one.is_broken]

    def began_s_ago(self, group):
        """Return the seconds since a group broke, None if it is not broken."""
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
        """Return whether a report said lately that a group is broken."""
        state = self._states.get(group)
        if state is None or not state.is_broken:
            return False
        age_s = self._clock.monotonic_s() - state.reported_at_s
        return age_s < self._settings.outage_reported_s

    def may_test(self, group):
        """Return whether a group may get a request for want of any other."""
        if not self.is_broken(group):
            return True
        test = self._tests.get(group)
        return not self.is_reported(group) and (test is None or test.passed())

    def is_test_due(self, group):
        """Return whether a broken group should get a request although others serve."""
        seen_s_ago = self._clock.monotonic_s() - self._states[group].seen_at_s
        is_old = seen_s_ago >= self._settings.group_ejection_s
        return is_old and self.may_test(group)

    def note_sent(self, group):
        """Note that a request is sent to a group; it tests one that is broken."""
        if self.is_broken(group):
            wait_s = self._settings.outage_test_limit_s
            self._tests[group] = Deadline.after(self._clock, wait_s)

    def note_ended(self, group):
        """Note that a request to a group is over."""
        self._tests.pop(group, None)

    def note_declined(self, group, sent_at_s=math.inf):
        """Note that a rank of a group declined because another one failed.

        Parameters
        ----------
        group : str or None
            The group.
        sent_at_s : float
            When the request was sent, monotonic seconds.  One that was under way when
            the group opened says nothing of it now.
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
        """Note that a rank of a group has answered a request sent at some moment."""
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
            The epoch that it is in, if known.
        told_by : str
            What said so, for the log.
        """
        self._open(group, epoch, told_by, self._clock.monotonic_s())

    def note_report(self, report, observed_at_s):
        """Take what a rank reports of its group.

        Parameters
        ----------
        report : siskinthread.group_maps.RankReport
            The report.
        observed_at_s : float
            When the group was as it says, monotonic seconds: the time of the question
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
            # It was open in this epoch just before it broke.
            state.epoch = report.epoch

    def hear(self, statements, told_by):
        """Take each `GroupOutageStatement` of a peer."""
        for statement in statements:
            seen_at_s = self._clock.monotonic_s() - statement.age_s
            if statement.is_open:
                self._note_peer_open(statement, seen_at_s, told_by)
            else:
                self._note_peer_broken(statement, seen_at_s, told_by)

    def statements(self):
        """Return what peers should be told, a list of `GroupOutageStatement`."""
        oldest_s = self._clock.monotonic_s() - self._settings.outage_told_s
        own = [
            (group, state)
            for group, state in self._states.items()
            if state.is_own and max(state.seen_at_s, state.learnt_at_s) > oldest_s
        ]
        own.sort(key=lambda one: -one[1].learnt_at_s)
        return [self._statement(group, state) for group, state in own]

    def take_urgent(self):
        """Return the statements that all peers should get now."""
        urgent = self._urgent
        self._urgent = {one: left - 1 for one, left in urgent.items() if left > 1}
        return [one for one in self.statements() if one.group_name in urgent]

    def refresh(self):
        """Look which groups stand still, and forget outages that nobody tells of."""
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
        """Trust the ranks of a group that has opened as before its outage."""
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
        if any(self._health.is_passed_over(one) for one in ids):
            self._break(group, "a stall with a failed rank", None)
            state = self._states[group]
            state.is_suspected = True
            state.is_own = False
            state.seen_at_s = now_s

    def _note_moving(self, group):
        """Note that a group does not stand still any more."""
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
            # Told anew before what peers know is too old to count.
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
