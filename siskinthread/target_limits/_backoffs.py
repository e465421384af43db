"""The targets that have requested back-off from this host."""

from siskinthread.observability import part_logger
from siskinthread.target_limits._backoff import Backoff
from siskinthread.target_limits._statement import BackoffStatement
from siskinthread.timing import Deadline

_logger = part_logger("target_limits")
# Maximum length of a header text in a log line.
TEXT_LIMIT_CHARS = 80


class TargetBackoffs:
    """Which targets are backed off, and how requests to them resume.

    Parameters
    ----------
    settings : TargetBackoffSettings
        Times of the return.
    clock : siskinthread.timing.Clock
        Clock of the back-offs.
    random : random.Random
        Spreads the retry times of refused callers.

    Notes
    -----
    A back-off belongs to an instance and not to a list entry: a target that vanishes
    from the list and is listed again stays backed off, and a restarted target is not
    backed off.
    """

    __slots__ = (
        "_clock",
        "_next_retry_at_s",
        "_random",
        "_backoffs",
        "_settings",
        "_unreadable",
    )

    def __init__(self, settings, clock, random):
        self._settings = settings
        self._clock = clock
        self._random = random
        self._backoffs = {}
        # Targets whose unreadable back-off was logged.
        self._unreadable = set()
        # Earliest retry time of the next refused caller, monotonic seconds, by service.
        self._next_retry_at_s = {}

    def note_answer(self, entry, sent_at_s, stated):
        """Apply the back-off that an answer of a target requests.

        Parameters
        ----------
        entry : siskinthread.gateway.TargetEntry
            The target.
        sent_at_s : float
            When its request was sent, monotonic seconds.
        stated : StatedBackoff
            The back-off.
        """
        if stated.unreadable is not None:
            self._log_unreadable(entry, stated)
        if stated.wait_s > 0:
            self._begin(entry, stated.wait_s)
            return
        backoff = self._backoffs.get(entry.instance_id)
        if backoff is not None and sent_at_s >= backoff.end.at_s:
            self._note_good_answer(backoff, entry.slot_count)

    def is_backed_off(self, instance_id):
        """Return whether a target is backed off now."""
        backoff = self._backoffs.get(instance_id)
        return backoff is not None and not backoff.end.passed()

    def admitted(self, entries, may_try):
        """Return the targets that may get a request now.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            The targets to choose from.
        may_try : bool
            Whether the request can go to another target if this one declines it.  If
            not, targets that have not answered since their back-off are returned only
            if there are no others.
        """
        if not self._backoffs:
            return entries
        open_entries = []
        confirmed = []
        for entry in entries:
            backoff = self._backoffs.get(entry.instance_id)
            if backoff is None or backoff.is_open():
                open_entries.append(entry)
                if backoff is None or backoff.is_confirmed():
                    confirmed.append(entry)
        return open_entries if may_try else confirmed or open_entries

    def note_sent(self, instance_id):
        """Count a request that is sent to a target."""
        backoff = self._backoffs.get(instance_id)
        if backoff is not None:
            wait_s = self._settings.try_wait_s
            backoff.note_sent(Deadline.after(self._clock, wait_s))

    def come_back_after_s(self, entries, asked_per_s, longest_s):
        """Return when a caller that was refused for back-off should retry, seconds.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            Backed-off targets of one service.
        asked_per_s : float
            Requests a second of the callers of this host; retries are spread at this
            rate.
        longest_s : float
            Time within which retries are spread, unless the back-off lasts longer.
        """
        service_name = entries[0].service_name
        now_s = self._clock.monotonic_s()
        soonest_s = min(self._left_s(entry.instance_id) for entry in entries)
        retry_at_s = max(
            now_s + soonest_s, self._next_retry_at_s.get(service_name, 0.0)
        )
        if retry_at_s - now_s > max(soonest_s, longest_s):
            # All slots until then are taken: choose a random time.
            spread_s = max(self._settings.spread_s, longest_s - soonest_s)
            return soonest_s + spread_s * self._random.random()
        self._next_retry_at_s[service_name] = retry_at_s + 1 / max(1.0, asked_per_s)
        return retry_at_s - now_s

    def describe(self, instance_id):
        """Return the state of a target's back-off as a text for messages."""
        backoff = self._backoffs[instance_id]
        if backoff.end.passed():
            return f"{instance_id} has not answered since its back-off"
        return f"{instance_id} wants no request for {backoff.end.left_s():.2f} s"

    def statements(self):
        """Return a bounded number of `BackoffStatement` for the peers.

        Back-offs that end latest come first.
        """
        backed_off = [
            backoff for backoff in self._backoffs.values() if not backoff.end.passed()
        ]
        backed_off.sort(key=lambda backoff: -backoff.end.at_s)
        return [
            BackoffStatement(backoff.instance_id, backoff.end.left_s())
            for backoff in backed_off[: self._settings.told_limit]
        ]

    def backed_off_count(self):
        """Return the number of targets that are backed off now."""
        return sum(not backoff.end.passed() for backoff in self._backoffs.values())

    def drop_over(self):
        """Forget back-offs that ended more than `return_memory_s` ago."""
        now_s = self._clock.monotonic_s()
        memory_s = self._settings.return_memory_s
        expired = [
            backoff
            for backoff in self._backoffs.values()
            if now_s - backoff.end.at_s > memory_s
        ]
        for backoff in expired:
            del self._backoffs[backoff.instance_id]
        if len(self._unreadable) >= self._settings.targets_limit:
            self._unreadable.clear()

    def _left_s(self, instance_id):
        backoff = self._backoffs.get(instance_id)
        return 0.0 if backoff is None else backoff.left_s()

    def _begin(self, entry, wait_s):
        end = Deadline.after(self._clock, wait_s)
        backoff = self._backoffs.get(entry.instance_id)
        if backoff is None:
            if len(self._backoffs) >= self._settings.targets_limit:
                self._drop_earliest()
            backoff = Backoff(entry.instance_id, entry.service_name, end)
            self._backoffs[entry.instance_id] = backoff
            name = "target requests back-off"
        elif backoff.extend(end):
            name = "target requests back-off again"
        else:
            name = "back-off of target prolonged"
        _logger.event(
            name,
            target=entry.instance_id,
            limited_service=entry.service_name,
            wait_s=wait_s,
            left_s=round(backoff.end.left_s(), 3),
            backoffs_in_a_row=backoff.count,
        )

    def _drop_earliest(self):
        first = min(self._backoffs.values(), key=lambda backoff: backoff.end.at_s)
        del self._backoffs[first.instance_id]

    def _note_good_answer(self, backoff, slot_count):
        backoff.note_answered()
        if backoff.answer_count == 1:
            _logger.event(
                "target answers after its back-off",
                target=backoff.instance_id,
                limited_service=backoff.service_name,
                backoffs_in_a_row=backoff.count,
            )
        if backoff.answer_count >= slot_count:
            del self._backoffs[backoff.instance_id]

    def _log_unreadable(self, entry, stated):
        if entry.instance_id in self._unreadable:
            return
        self._unreadable.add(entry.instance_id)
        _logger.event(
            "requested back-off is unreadable",
            target=entry.instance_id,
            limited_service=entry.service_name,
            text=stated.unreadable[:TEXT_LIMIT_CHARS],
            taken_for_s=stated.wait_s,
        )
