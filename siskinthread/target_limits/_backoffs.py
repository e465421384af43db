"""The targets that have requested back-off of this entry."""

from siskinthread.observability import part_logger
from siskinthread.target_limits._backoff import Backoff
from siskinthread.target_limits._statement import BackoffStatement
from siskinthread.timing import Deadline

_logger = part_logger("target_limits")
# Longest text of a header that goes into the log.
TEXT_LIMIT = 80


class TargetBackoffs:
    """Which targets want no request from this entry, and how it comes back to them.

    Parameters
    ----------
    settings : TargetBackoffSettings
        Times of the return.
    clock : siskinthread.timing.Clock
        Clock of the back-offs.
    random : random.Random
        Spreads the return of callers.

    Notes
    -----
    A back-off is kept by instance and not by list entry: a target that vanishes from
    the list and is listed again stays backed off, and one that has started anew does
    not.
    """

    __slots__ = (
        "_clock",
        "_next_return_s",
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
        # Targets whose unreadable time was logged.
        self._unreadable = set()
        # When the caller that was refused last was asked to come back, by service.
        self._next_return_s = {}

    def note_answer(self, entry, sent_at_s, stated):
        """Take what an answer of a target states.

        Parameters
        ----------
        entry : siskinthread.gateway.TargetEntry
            The target.
        sent_at_s : float
            When its request was sent, monotonic seconds.
        stated : StatedBackoff
            The statement.
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
        """Return whether a target wants no request now."""
        backoff = self._backoffs.get(instance_id)
        return backoff is not None and not backoff.end.passed()

    def admitted(self, entries, may_try):
        """Return those of some targets that may get a request now.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            The targets.
        may_try : bool
            Whether the request can go elsewhere if its target declines it.  One that
            can't goes to a target that has not answered since its back-off only if
            there is no other.
        """
        if not self._backoffs:
            return entries
        open_ones = []
        proved = []
        for entry in entries:
            backoff = self._backoffs.get(entry.instance_id)
            if backoff is None or backoff.is_open():
                open_ones.append(entry)
                if backoff is None or backoff.is_proved():
                    proved.append(entry)
        return open_ones if may_try else proved or open_ones

    def note_sent(self, instance_id):
        """Note that a target gets a request."""
        backoff = self._backoffs.get(instance_id)
        if backoff is not None:
            wait_s = self._settings.try_wait_s
            backoff.note_sent(Deadline.after(self._clock, wait_s))

    def come_back_after_s(self, entries, asked_per_s, longest_s):
        """Return when a caller that was refused for back-off should return, seconds.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            Backed-off targets of one service.
        asked_per_s : float
            Requests a second that callers ask this entry for; those who come back are
            spread at that rate.
        longest_s : float
            Time within which callers are spread, unless the back-off lasts longer.
        """
        service_name = entries[0].service_name
        now_s = self._clock.monotonic_s()
        soonest_s = min(self._left_s(entry.instance_id) for entry in entries)
        place_s = max(now_s + soonest_s, self._next_return_s.get(service_name, 0.0))
        if place_s - now_s > max(soonest_s, longest_s):
            # There are more than places: chance decides.
            spread_s = max(self._settings.spread_s, longest_s - soonest_s)
            return soonest_s + spread_s * self._random.random()
        self._next_return_s[service_name] = place_s + 1 / max(1.0, asked_per_s)
        return place_s - now_s

    def describe(self, instance_id):
        """Return what is believed of a target's back-off, for people."""
        backoff = self._backoffs[instance_id]
        if backoff.end.passed():
            return f"{instance_id} has not answered since its back-off"
        return f"{instance_id} wants no request for {backoff.end.left_s():.2f} s"

    def statements(self):
        """Return what peers should be told, a bounded number of `BackoffStatement`.

        The back-offs that end last go first.
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
        """Return the number of targets that want no request now."""
        return sum(not backoff.end.passed() for backoff in self._backoffs.values())

    def drop_over(self):
        """Forget back-offs after which a target has got no request for long."""
        now_s = self._clock.monotonic_s()
        memory_s = self._settings.return_memory_s
        over = [
            backoff
            for backoff in self._backoffs.values()
            if now_s - backoff.end.at_s > memory_s
        ]
        for backoff in over:
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
                self._drop_first_over()
            backoff = Backoff(entry.instance_id, entry.service_name, end)
            self._backoffs[entry.instance_id] = backoff
            name = "target requests back-off"
        elif backoff.prolong(end):
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

    def _drop_first_over(self):
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
            text=stated.unreadable[:TEXT_LIMIT],
            taken_for_s=stated.wait_s,
        )
