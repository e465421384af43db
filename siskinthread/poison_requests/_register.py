"""Which requests and parts are suspected, as all entries together know."""

import math
from collections import OrderedDict

import curio

from siskinthread.observability import part_logger
from siskinthread.poison_requests._answered_parts import AnsweredParts
from siskinthread.poison_requests._part_names import is_part
from siskinthread.poison_requests._statements import ENDS_LIMIT, tag_of
from siskinthread.poison_requests._suspect import Suspect
from siskinthread.timing import Deadline

_logger = part_logger("poison_requests")


class PoisonRegister:
    """Remembers under which requests targets have ended.

    Parameters
    ----------
    settings : PoisonSettings
        Limits and times.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Attributes
    ----------
    answered_parts : AnsweredParts
        Parts of prompts that this entry has seen answered.
    is_write_due : curio.Event
        Set when the store should be told something.
    change_count : int
        Rises whenever something is learnt or forgotten.

    Notes
    -----
    Symptom without this: one caller's request ended nine servers within 40 s, two at a
    time, and while their groups formed anew 541 of 925 requests were refused.
    Each try came to another entry under another id, and no entry knew of the tries
    before it.

    Only ends that this entry has made sure of count: the exchange was broken off, and
    nothing listens there any more.  What ends silently (power, a cut), as planned, or
    with its group says nothing about a request.  Neither do ends under a request that
    is answered elsewhere.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_outdated",
        "_settings",
        "_suspects",
        "answered_parts",
        "change_count",
        "is_write_due",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._suspects = {}
        # When requests were answered, monotonic seconds, the latest last.
        self._answered = OrderedDict()
        # Requests of which the store has a record that counts no more.
        self._outdated = set()
        self.answered_parts = AnsweredParts(settings)
        self.change_count = 0
        self.is_write_due = curio.Event()

    def kept_off_until(self, fingerprint):
        """Return the `Deadline` until which a request gets no target, or None."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self._is_kept_off(suspect):
            return None
        return Deadline(self._clock, self._kept_off_until_s(suspect))

    async def target_ended(self, fingerprint, instance_id):
        """Note that a target has ended under a request of this entry."""
        if self._was_answered_lately(fingerprint):
            _logger.event(
                "end of a target does not count against a request",
                fingerprint=fingerprint,
                target=instance_id,
                reason="the request was answered a moment ago",
            )
            return
        suspect = self._suspect(fingerprint)
        suspect.is_author = True
        now_s = self._clock.monotonic_s()
        if suspect.add(tag_of(instance_id), now_s, is_cleared=False):
            await self._note_change(suspect, told_by=None)

    def find(self, name):
        """Return the `Suspect` of a request or part, or None."""
        return self._suspects.get(name)

    def suspected_parts(self):
        """Return the `Suspect` of each part under which targets have ended."""
        return [one for name, one in self._suspects.items() if is_part(name)]

    async def target_ended_under_part(self, name, instance_id, is_trial):
        """Note that a target has ended under a request of this entry with a part.

        Parameters
        ----------
        name : str
            The part, see `part_name`.
        instance_id : str
            The target.
        is_trial : bool
            Whether the request was a try of the part, which was suspected already.
        """
        suspect = self._suspect(name)
        suspect.is_author = True
        now_s = self._clock.monotonic_s()
        if suspect.add(tag_of(instance_id), now_s, False, is_trial):
            await self._note_change(suspect, told_by=None)

    async def part_answered(self, name):
        """Note that a request with a part was answered in full."""
        self.answered_parts.note(name)
        suspect = self._suspects.get(name)
        if suspect is None:
            return
        is_new = not suspect.was_answered
        suspect.was_answered = True
        if suspect.clear() or is_new:
            suspect.is_author = True
            await self._note_change(suspect, told_by=None)

    async def answered(self, fingerprint):
        """Note that a target has answered a request in full, so that it lives on."""
        now_s = self._clock.monotonic_s()
        self._answered[fingerprint] = now_s
        self._answered.move_to_end(fingerprint)
        self._drop_old_answers(now_s)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.clear():
            suspect.is_author = True
            await self._note_change(suspect, told_by=None)

    def statements(self):
        """Return what peers should be told now, a bounded number of statements."""
        now_s = self._clock.monotonic_s()
        self._forget_old(now_s)
        oldest_s = now_s - self._settings.told_s
        told = [
            suspect
            for suspect in self._suspects.values()
            if self._is_told(suspect, oldest_s)
        ]
        told.sort(key=lambda suspect: -suspect.changed_at_s)
        return [one.statement(now_s) for one in self._share_of_turn(told, now_s)]

    async def hear(self, statements, told_by):
        """Take over what others have stated.

        Parameters
        ----------
        statements : list of SuspectStatement
            What they know.
        told_by : str
            Who, for the log.
        """
        now_s = self._clock.monotonic_s()
        for statement in statements:
            if self._is_outdated(statement):
                continue
            suspect = self._suspect(statement.fingerprint)
            if suspect.was_answered and not statement.was_answered:
                suspect.is_awaited = True
            if suspect.merge(statement, now_s):
                if self._was_answered_lately(statement.fingerprint):
                    suspect.clear()
                await self._note_change(suspect, told_by)
            elif not statement.tells_all_of(suspect.statement(now_s)):
                # Whoever stated this has missed what was told before.
                suspect.changed_at_s = now_s

    async def note_stored(self, statement, told_by):
        """Take over a statement of the store, and note that the store has it.

        The store keeps records for ever; one that counts no more is dropped there.
        """
        if self._is_outdated(statement):
            if len(self._outdated) < self._settings.suspects_limit:
                self._outdated.add(statement.fingerprint)
                await self.is_write_due.set()
            return
        await self.hear([statement], told_by)
        suspect = self._suspects.get(statement.fingerprint)
        if suspect is not None:
            suspect.note_stored(_counting_marks(statement))
            await self._wake_writer(suspect)

    async def note_dropped(self, fingerprint, told_by):
        """Note that the store has dropped a request: it was released."""
        self._outdated.discard(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        is_changed = suspect.clear()
        suspect.note_stored(())
        if is_changed:
            await self._note_change(suspect, told_by)

    async def note_store_restored(self):
        """Note that the store may have lost any of its records.

        What it had is due to be written again, by whichever entry knows it: the one
        that saw the targets end may be gone.
        """
        for suspect in self._suspects.values():
            suspect.is_author = False
            suspect.stored_marks = frozenset()
            await self._wake_writer(suspect)

    def due_writes(self, is_in_turn):
        """Return the statements that the store should get, None for those to drop.

        Parameters
        ----------
        is_in_turn : bool
            Whether to return those that any entry could write, too.

        Returns
        -------
        dict of str to SuspectStatement or None
            By fingerprint.
        """
        now_s = self._clock.monotonic_s()
        outdated = self._outdated - set(self._suspects) if is_in_turn else ()
        due = dict.fromkeys(outdated)
        for suspect in self._suspects.values():
            is_allowed = is_in_turn or suspect.is_author
            if is_allowed and self._should_be_written(suspect):
                tags = suspect.counting_tags()
                statement = suspect.statement(now_s) if tags else None
                due[suspect.fingerprint] = statement
        return due

    def note_written(self, fingerprint, statement):
        """Note that the store has taken a write."""
        self._outdated.discard(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.note_stored(() if statement is None else _counting_marks(statement))

    def _is_outdated(self, statement):
        newest_s = min((end.age_s for end in statement.ends), default=math.inf)
        return newest_s > self._settings.memory_s

    def _should_be_written(self, suspect):
        marks = suspect.counting_marks()
        if marks == suspect.stored_marks:
            return False
        if not marks:
            return True
        # Entries need not have kept the same ends of those beyond the limit.
        is_full = len(suspect.stored_marks) >= ENDS_LIMIT and not suspect.is_author
        return len(marks) >= self._stored_from_count(suspect) and not is_full

    def _stored_from_count(self, suspect):
        if suspect.was_answered:
            return self._settings.answered_end_count
        return self._settings.stored_from_count

    def _is_told(self, suspect, oldest_s):
        """Return whether peers should be told of a suspect now.

        Targets that end take many sound requests along, whose parts mostly have been
        answered; one end under such a part is of no use to others.
        """
        is_known_sound = suspect.was_answered and not suspect.is_awaited
        least = self._settings.suspected_end_count
        if is_known_sound and len(suspect.counting_tags()) < least:
            return False
        return suspect.changed_at_s >= oldest_s or self._is_kept_off(suspect)

    def _is_kept_off(self, suspect):
        return self._clock.monotonic_s() < self._kept_off_until_s(suspect)

    def _kept_off_until_s(self, suspect):
        """Return until when a request gets no target, monotonic seconds."""
        settings = self._settings
        end_count = len(suspect.counting_tags())
        if end_count >= settings.end_limit_count:
            return suspect.last_at_s + settings.keep_off_s
        if end_count >= settings.pause_count:
            return suspect.last_at_s + settings.pause_s
        return -math.inf

    def _suspect(self, fingerprint):
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[fingerprint] = Suspect(fingerprint)
            suspect.was_answered = self.answered_parts.knows(fingerprint)
        return suspect

    def _make_room(self):
        if len(self._suspects) < self._settings.suspects_limit:
            return
        least = min(
            self._suspects.values(),
            key=lambda one: (len(one.counting_tags()), one.changed_at_s),
        )
        del self._suspects[least.fingerprint]
        self.change_count += 1
        _logger.event("suspected request forgotten", fingerprint=least.fingerprint)

    async def _note_change(self, suspect, told_by):
        suspect.changed_at_s = self._clock.monotonic_s()
        self.change_count += 1
        if is_part(suspect.fingerprint):
            self._log_part(suspect, told_by)
            await self._wake_writer(suspect)
            return
        until = self.kept_off_until(suspect.fingerprint)
        _logger.event(
            "request is suspected" if until is None else "request is kept off targets",
            fingerprint=suspect.fingerprint,
            ended_targets=len(suspect.counting_tags()),
            last_end_age_s=round(suspect.changed_at_s - suspect.last_at_s, 3),
            told_by=told_by,
            kept_off_s=None if until is None else round(until.left_s(), 1),
        )
        await self._wake_writer(suspect)

    def _log_part(self, suspect, told_by):
        _logger.event(
            "part of prompts noted",
            part=suspect.fingerprint,
            ended_targets=len(suspect.counting_tags()),
            ended_in_trials=len(suspect.trial_tags()),
            was_answered=suspect.was_answered,
            last_end_age_s=round(suspect.changed_at_s - suspect.last_at_s, 3),
            told_by=told_by,
        )

    async def _wake_writer(self, suspect):
        if self._should_be_written(suspect):
            await self.is_write_due.set()

    def _was_answered_lately(self, fingerprint):
        at_s = self._answered.get(fingerprint)
        oldest_s = self._clock.monotonic_s() - self._settings.answered_s
        return at_s is not None and at_s >= oldest_s

    def _drop_old_answers(self, now_s):
        answered = self._answered
        oldest_s = now_s - self._settings.answered_s
        while answered:
            fingerprint, at_s = next(iter(answered.items()))
            if at_s >= oldest_s and len(answered) <= self._settings.answered_limit:
                return
            del answered[fingerprint]

    def _forget_old(self, now_s):
        oldest_s = now_s - self._settings.memory_s
        old = [one for one in self._suspects.values() if one.last_at_s < oldest_s]
        for suspect in old:
            del self._suspects[suspect.fingerprint]
            self.change_count += 1

    def _share_of_turn(self, told, now_s):
        """Return the part of some suspects whose turn it is, the newest always."""
        limit = self._settings.told_limit
        if len(told) <= limit:
            return told
        half = limit // 2
        newest, rest = told[:half], told[half:]
        start = int(now_s) * half % len(rest)
        return newest + (rest + rest)[start : start + half]


def _counting_marks(statement):
    return [(end.tag, end.is_trial) for end in statement.ends if not end.is_cleared]
