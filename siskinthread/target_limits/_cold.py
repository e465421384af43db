"""Which targets are cold, and how many requests this host may send them."""

import math

from siskinthread.observability import part_logger
from siskinthread.target_limits._cold_rule import find_rules
from siskinthread.target_limits._cold_target import ColdTarget
from siskinthread.target_limits._statement import ColdStatement

_logger = part_logger("target_limits")


class FreePermit:
    """Permit of a request to a target whose service has no cold starts."""

    __slots__ = ()

    def may_be_written(self):
        """Return True."""
        return True

    def written(self):
        """Do nothing."""

    def release(self):
        """Do nothing."""


FREE_PERMIT = FreePermit()


class Permit:
    """Slot of a request at a target, from the choice of the target to the write.

    Parameters
    ----------
    cold : ColdTargets
        Counts the slots.
    target : ColdTarget
        The target.
    """

    __slots__ = ("_cold", "_is_held", "_target")

    def __init__(self, cold, target):
        self._cold = cold
        self._target = target
        self._is_held = True
        target.held_count += 1

    def may_be_written(self):
        """Return whether the request may still be sent to the target.

        After the choice the target may have become cold, or this host may have learnt
        of more hosts.
        """
        return self._cold.has_slot(self._target)

    def written(self):
        """Count the request as sent."""
        if self._is_held:
            self.release()
            self._cold.note_sent(self._target)

    def release(self):
        """Free the slot unless the request was written."""
        if self._is_held:
            self._is_held = False
            self._target.held_count -= 1


class ColdTargets:
    """Keeps the requests of all hosts to a cold target within a bound.

    Parameters
    ----------
    settings : ColdTargetSettings
        The bound, and which fraction of it is used.
    clock : siskinthread.timing.Clock
        Clock of the times.
    random : random.Random
        Spreads the retry times of refused callers.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Provides this host's position among all hosts; None if there are no others.
    evacuations : object or None
        Its ``taken_back_s_ago(domain)`` returns the seconds since a failure domain was
        taken back after an evacuation, or None.

    Notes
    -----
    Each host has a quota by its position in an order of all hosts that it has ever
    known.  The sum of the quotas is below the bound, so hosts need not report their
    requests to each other.  A request occupies a slot from the choice of its target
    until one window after it was written, whatever happens in between.
    """

    __slots__ = (
        "_clock",
        "_cold_ids",
        "_next_retry_at_s",
        "_order_positions",
        "_random",
        "_rules",
        "_settings",
        "_targets",
        "evacuations",
        "peers",
    )

    def __init__(self, settings, clock, random):
        self._settings = settings
        self._clock = clock
        self._random = random
        self._rules = {}
        self._targets = {}
        # Ids of targets that were cold at the last update; all others are warm unless
        # their failure domain was taken back.
        self._cold_ids = set()
        # Position of this host in the order of a target and the number of hosts in
        # that order, by target id.
        self._order_positions = {}
        # Last retry time given to a refused caller, monotonic seconds, by service.
        self._next_retry_at_s = {}
        self.peers = None
        self.evacuations = None

    @property
    def has_bound(self):
        """Whether the settings bound what cold targets may get."""
        return self._settings.excess_ratio > 0

    def take_table(self, table):
        """Apply the rules of the services of a `siskinthread.gateway.RouteTable`."""
        self._rules = find_rules(table.services, self._settings)
        for target in self._targets.values():
            self._note_state(target, "configuration")

    def note_entry(self, entry, is_new=False):
        """Apply a target's list entry.

        Parameters
        ----------
        entry : siskinthread.gateway.TargetEntry
            The target.
        is_new : bool
            Whether the target was missing in the previous list.  False for the first
            list.
        """
        if not self.has_bound:
            return
        target = self._find(entry)
        target.is_unlisted = False
        now_s = self._clock.monotonic_s()
        target.apply_report(entry.report_number, entry.cold_left_s, now_s)
        if is_new:
            target.assume_cold(now_s)
        self._note_state(target, "list")

    def note_answer(self, entry, cold_left_s):
        """Apply an answer of a target and its stated cold time.

        Parameters
        ----------
        entry : siskinthread.gateway.TargetEntry
            The target.
        cold_left_s : float or None
            Remaining cold time, seconds; None if the answer states none.
        """
        target = self._targets.get(entry.instance_id)
        if target is None or entry.service_name not in self._rules:
            return
        now_s = self._clock.monotonic_s()
        target.answered_at_s = now_s
        if cold_left_s is not None:
            target.apply_statement(cold_left_s, now_s)
        elif target.has_failed:
            target.assume_cold(now_s)
        target.has_failed = False
        self._note_state(target, "answer")

    def hear(self, statements, source):
        """Apply each `ColdStatement` of a peer.

        Only one host of a failure domain reads the list again unless a target was
        added to it, so the other hosts learn from that host which target is cold again.
        Hosts that sent no request to a target while it was away would treat it as warm
        once it is back: 38 hosts with 190 requests a second sent it 20 requests in one
        second, with a bound of 12.5.
        """
        now_s = self._clock.monotonic_s()
        for statement in statements:
            target = self._targets.get(statement.instance_id)
            if target is None:
                continue
            if statement.left_s > 0:
                target.apply_peer_statement(statement.left_s, now_s)
                self._note_state(target, source)
            if statement.failed_age_s is not None and self.peers is not None:
                self._apply_peer_failure(target, statement.failed_age_s, now_s, source)

    def _apply_peer_failure(self, target, age_s, now_s, source):
        valid_s = self._settings.failure_told_s
        if age_s >= valid_s:
            return
        domain = self.peers.domain_of(source)
        own_domain = self.peers.own_domain
        if target.apply_peer_failure(
            source, domain, own_domain, now_s - age_s, valid_s
        ):
            self._note_state(target, f"failure at {source}")

    def statements(self):
        """Return a bounded number of `ColdStatement` for the peers.

        Targets that are cold for longest come first, then the failures, the newest
        ones first.
        """
        if not self._rules:
            return []
        now_s = self._clock.monotonic_s()
        stated = [
            ColdStatement(target.instance_id, target.stated_left_s(now_s))
            for target in self._targets.values()
            if target.service_name in self._rules and target.stated_left_s(now_s) > 0
        ]
        stated.sort(key=lambda statement: -statement.left_s)
        limit = self._settings.told_limit
        return stated[:limit] + self._failure_statements(now_s)[:limit]

    def _failure_statements(self, now_s):
        failed = [
            ColdStatement(target.instance_id, 0.0, now_s - target.failed_at_s)
            for target in self._targets.values()
            if target.has_failed
            and now_s - target.failed_at_s < self._settings.failure_told_s
        ]
        failed.sort(key=lambda statement: statement.failed_age_s)
        return failed

    def note_failure(self, instance_id, silent_since_s=None):
        """Record that a target failed, was unreachable or did not answer.

        Parameters
        ----------
        instance_id : str
            The target.
        silent_since_s : float or None
            When a request that was not answered was sent, monotonic seconds.  A target
            that has answered another request since then is slow and has not failed.
            None if the target closed the connection.
        """
        target = self._targets.get(instance_id)
        if target is None or target.service_name not in self._rules:
            return
        if silent_since_s is not None and target.answered_at_s >= silent_since_s:
            return
        target.note_failure(self._clock.monotonic_s())
        self._note_state(target, "failure")

    def admitted(self, entries, service_name, is_urgent):
        """Return the targets of a service that may get a request now.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            The targets to choose from.
        service_name : str
            Their service.
        is_urgent : bool
            Whether the request has the most urgent recent priority.
        """
        if service_name not in self._rules:
            return entries
        domains = self._taken_back_domains(entries)
        if not self._cold_ids and not domains:
            return entries
        return [
            entry
            for entry in entries
            if (
                entry.instance_id not in self._cold_ids
                and entry.failure_domain not in domains
            )
            or self._admits(self._find(entry), is_urgent)
        ]

    def take(self, entry):
        """Return the permit of a request that is sent to a target.

        It must be taken right after the choice of the target, and released at the end
        whether or not the request was written.
        """
        if entry.service_name not in self._rules:
            return FREE_PERMIT
        return Permit(self, self._find(entry))

    def has_slot(self, target):
        """Return whether a request that holds a slot at a target may be written."""
        if not self._is_cold(target):
            return True
        used_count = target.used_count(
            self._clock.monotonic_s(), self._settings.window_s
        )
        return used_count <= self._quota(target)

    def note_sent(self, target):
        """Count a written request to a target."""
        rule = self._rules.get(target.service_name)
        if rule is not None:
            target.note_sent(self._clock.monotonic_s(), rule.usable_count)

    def cold_count(self):
        """Return the number of cold targets."""
        return sum(self._is_cold(target) for target in self._targets.values())

    def come_back_after_s(self, entries, longest_s):
        """Return when a caller that was refused for quotas should retry, seconds.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            Cold targets of one service.
        longest_s : float
            Longest time that the caller waits, seconds.

        Notes
        -----
        Callers get consecutive slots at the mean rate that cold targets leave to one
        host, as callers may retry at any host.  No caller waits longer than until the
        first target is warm.
        """
        now_s = self._clock.monotonic_s()
        targets = [self._find(entry) for entry in entries]
        service_name = entries[0].service_name
        soonest_s = min(
            target.wait_s(now_s, self._settings.window_s) for target in targets
        )
        usable_count = len(targets) * self._rules[service_name].usable_count
        rate_per_s = usable_count / self._host_count() / self._settings.window_s
        retry_at_s = max(
            now_s + soonest_s, self._next_retry_at_s.get(service_name, 0.0)
        )
        retry_at_s += 1 / rate_per_s if rate_per_s else math.inf
        warm_s = min(self._cold_left_s(target) for target in targets)
        longest_s = min(longest_s, warm_s) if warm_s > 0 else longest_s
        if retry_at_s - now_s > longest_s:
            # All slots until then are taken: choose a random time.
            return longest_s * (0.5 + 0.5 * self._random.random())
        self._next_retry_at_s[service_name] = retry_at_s
        return retry_at_s - now_s

    def describe(self, entry):
        """Return the state of a cold target as a text for messages."""
        target = self._find(entry)
        used_count = target.used_count(
            self._clock.monotonic_s(), self._settings.window_s
        )
        return (
            f"{target.instance_id} is cold for {self._cold_left_s(target):.2f} s, and "
            f"{used_count} of the {self._quota(target)} requests a second are in use "
            f"that this host, one of {self._host_count()}, may send it"
        )

    def forget(self, instance_id):
        """Mark a target that gets no more requests."""
        target = self._targets.get(instance_id)
        if target is not None:
            # Its recent requests still count if it is listed again.
            target.is_unlisted = True

    def drop_over(self):
        """Forget targets that are not listed and got no request within the window."""
        now_s = self._clock.monotonic_s()
        for target in list(self._targets.values()):
            self._note_state(target, "time")
            used_count = target.used_count(now_s, self._settings.window_s)
            if target.is_unlisted and not used_count:
                del self._targets[target.instance_id]
                self._order_positions.pop(target.instance_id, None)
                self._cold_ids.discard(target.instance_id)

    def _find(self, entry):
        target = self._targets.get(entry.instance_id)
        if target is None:
            target = self._targets[entry.instance_id] = ColdTarget(entry)
        return target

    def _admits(self, target, is_urgent):
        if not self._is_cold(target):
            return True
        quota = self._quota(target)
        reserved_count = 1 if quota > 1 and not is_urgent else 0
        used_count = target.used_count(
            self._clock.monotonic_s(), self._settings.window_s
        )
        return used_count < quota - reserved_count

    def _is_cold(self, target):
        return self._cold_left_s(target) > 0

    def _cold_left_s(self, target):
        rule = self._rules.get(target.service_name)
        if rule is None:
            return 0.0
        now_s = self._clock.monotonic_s()
        taken_back_at_s = self._taken_back_at_s(target.failure_domain, now_s)
        return target.cold_left_s(now_s, rule.start_s, taken_back_at_s)

    def _taken_back_domains(self, entries):
        """Return the failure domains of the targets that were recently taken back."""
        if self.evacuations is None:
            return ()
        return {
            domain
            for domain in {entry.failure_domain for entry in entries}
            if self.evacuations.taken_back_s_ago(domain) is not None
        }

    def _taken_back_at_s(self, failure_domain, now_s):
        if self.evacuations is None:
            return -math.inf
        age_s = self.evacuations.taken_back_s_ago(failure_domain)
        return -math.inf if age_s is None else now_s - age_s

    def _host_count(self):
        return 1 if self.peers is None else self.peers.roster_count()

    def _quota(self, target):
        """Return the requests within a window that this host may send to a target."""
        rule = self._rules[target.service_name]
        if self.peers is None:
            return rule.quota(0, 1)
        if not self.peers.is_roster_known():
            return 0
        host_count = self.peers.roster_count()
        position, known_count = self._order_positions.get(target.instance_id, (0, 0))
        if known_count != host_count:
            position = self.peers.roster_position(target.instance_id)
            self._order_positions[target.instance_id] = (position, host_count)
        return rule.quota(position, host_count)

    def _note_state(self, target, source):
        """Log that a target becomes cold or warm."""
        left_s = self._cold_left_s(target)
        was_cold = target.instance_id in self._cold_ids
        if (left_s > 0) == was_cold:
            return
        if not was_cold:
            self._cold_ids.add(target.instance_id)
            _logger.event(
                "target is cold",
                target=target.instance_id,
                limited_service=target.service_name,
                left_s=round(left_s, 3),
                told_by=source,
                quota=self._quota(target),
                hosts=self._host_count(),
            )
        else:
            self._cold_ids.discard(target.instance_id)
            _logger.event(
                "target is not cold any more",
                target=target.instance_id,
                limited_service=target.service_name,
                told_by=source,
            )
