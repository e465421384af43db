"""The targets that have asked this entry for rest."""

from siskinthread.observability import part_logger
from siskinthread.target_limits._rest import Rest
from siskinthread.target_limits._statement import RestStatement
from siskinthread.timing import Deadline

_logger = part_logger("target_limits")
# Longest text of a header that goes into the log.
TEXT_LIMIT = 80


class TargetRests:
    """Which targets want no request from this entry, and how it comes back to them.

    Parameters
    ----------
    settings : TargetRestSettings
        Times of the return.
    clock : siskinthread.timing.Clock
        Clock of the rests.
    random : random.Random
        Spreads the return of callers.

    Notes
    -----
    A rest is kept by instance and not by list entry: a target that vanishes from the
    list and is listed again still rests, and one that has started anew does not.
    """

    __slots__ = (
        "_clock",
        "_next_return_s",
        "_random",
        "_rests",
        "_settings",
        "_unreadable",
    )

    def __init__(self, settings, clock, random):
        self._settings = settings
        self._clock = clock
        self._random = random
        self._rests = {}
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
        stated : StatedRest
            The statement.
        """
        if stated.unreadable is not None:
            self._log_unreadable(entry, stated)
        if stated.wait_s > 0:
            self._begin(entry, stated.wait_s)
            return
        rest = self._rests.get(entry.instance_id)
        if rest is not None and sent_at_s >= rest.end.at_s:
            self._note_good_answer(rest, entry.slot_count)

    def is_resting(self, instance_id):
        """Return whether a target wants no request now."""
        rest = self._rests.get(instance_id)
        return rest is not None and not rest.end.passed()

    def admitted(self, entries, may_try):
        """Return those of some targets that may get a request now.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            The targets.
        may_try : bool
            Whether the request can go elsewhere if its target declines it.  One that
            can't goes to a target that has not answered since its rest only if there
            is no other.
        """
        if not self._rests:
            return entries
        open_ones = []
        proved = []
        for entry in entries:
            rest = self._rests.get(entry.instance_id)
            if rest is None or rest.is_open():
                open_ones.append(entry)
                if rest is None or rest.is_proved():
                    proved.append(entry)
        return open_ones if may_try else proved or open_ones

    def note_sent(self, instance_id):
        """Note that a target gets a request."""
        rest = self._rests.get(instance_id)
        if rest is not None:
            wait_s = self._settings.try_wait_s
            rest.note_sent(Deadline.after(self._clock, wait_s))

    def come_back_after_s(self, entries, asked_per_s, longest_s):
        """Return when a caller that was refused for rests should come back, seconds.

        Parameters
        ----------
        entries : list of siskinthread.gateway.TargetEntry
            Resting targets of one service.
        asked_per_s : float
            Requests a second that callers ask this entry for; those who come back are
            spread at that rate.
        longest_s : float
            Time within which callers are spread, unless the rest lasts longer.
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
        """Return what is believed of a target's rest, for people."""
        rest = self._rests[instance_id]
        if rest.end.passed():
            return f"{instance_id} has not answered since its rest"
        return f"{instance_id} wants no request for {rest.end.left_s():.2f} s"

    def statements(self):
        """Return what peers should be told, a bounded number of `RestStatement`.

        The rests that end last go first.
        """
        resting = [rest for rest in self._rests.values() if not rest.end.passed()]
        resting.sort(key=lambda rest: -rest.end.at_s)
        return [
            RestStatement(rest.instance_id, rest.end.left_s())
            for rest in resting[: self._settings.told_limit]
        ]

    def resting_count(self):
        """Return the number of targets that want no request now."""
        return sum(not rest.end.passed() for rest in self._rests.values())

    def drop_over(self):
        """Forget rests after which a target has got no request for long."""
        now_s = self._clock.monotonic_s()
        memory_s = self._settings.return_memory_s
        over = [
            rest for rest in self._rests.values() if now_s - rest.end.at_s > memory_s
        ]
        for rest in over:
            del self._rests[rest.instance_id]
        if len(self._unreadable) >= self._settings.targets_limit:
            self._unreadable.clear()

    def _left_s(self, instance_id):
        rest = self._rests.get(instance_id)
        return 0.0 if rest is None else rest.left_s()

    def _begin(self, entry, wait_s):
        end = Deadline.after(self._clock, wait_s)
        rest = self._rests.get(entry.instance_id)
        if rest is None:
            if len(self._rests) >= self._settings.targets_limit:
                self._drop_first_over()
            rest = Rest(entry.instance_id, entry.service_name, end)
            self._rests[entry.instance_id] = rest
            name = "target asks for rest"
        elif rest.prolong(end):
            name = "target asks for rest again"
        else:
            name = "rest of target prolonged"
        _logger.event(
            name,
            target=entry.instance_id,
            limited_service=entry.service_name,
            wait_s=wait_s,
            left_s=round(rest.end.left_s(), 3),
            rests_in_a_row=rest.count,
        )

    def _drop_first_over(self):
        first = min(self._rests.values(), key=lambda rest: rest.end.at_s)
        del self._rests[first.instance_id]

    def _note_good_answer(self, rest, slot_count):
        rest.note_answered()
        if rest.answer_count == 1:
            _logger.event(
                "target answers after its rest",
                target=rest.instance_id,
                limited_service=rest.service_name,
                rests_in_a_row=rest.count,
            )
        if rest.answer_count >= slot_count:
            del self._rests[rest.instance_id]

    def _log_unreadable(self, entry, stated):
        if entry.instance_id in self._unreadable:
            return
        self._unreadable.add(entry.instance_id)
        _logger.event(
            "rest that a target asks for is unreadable",
            target=entry.instance_id,
            limited_service=entry.service_name,
            text=stated.unreadable[:TEXT_LIMIT],
            taken_for_s=stated.wait_s,
        )
