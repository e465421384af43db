"""Which requests and prompt parts are suspected, as known to all hosts together."""

import math
from collections import OrderedDict

import curio

from siskinthread.observability import part_logger
from siskinthread.poison_requests._answered_parts import AnsweredParts
from siskinthread.poison_requests._part_names import is_part
from siskinthread.poison_requests._statements import CRASHES_LIMIT, tag_of
from siskinthread.poison_requests._suspect import Suspect
from siskinthread.timing import Deadline

_logger = part_logger("poison_requests")


class PoisonRegister:
    """Records during which requests targets have crashed.

    Parameters
    ----------
    settings : PoisonSettings
        Limits and times.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Attributes
    ----------
    answered_parts : AnsweredParts
        Prompt parts that were answered through this host.
    is_write_due : curio.Event
        Set when there may be something to write to the store.
    change_count : int
        Incremented whenever something is added or removed.

    Notes
    -----
    Without this register, one caller's request crashed nine servers within 40 s, two at
    a time, and 541 of 925 requests were refused while their groups re-formed.  Each
    retry went to another host under another id, and no host knew of the earlier ones.

    Only crashes that this host has verified count: the connection was closed, and
    nothing listens at the address any more.  A target that vanishes silently (loss of
    power, a cut), as planned or together with its group is no evidence against a
    request.  Neither are crashes during a request that is answered elsewhere.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_expired_records",
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
        # Requests with expired records in the store.
        self._expired_records = set()
        self.answered_parts = AnsweredParts(settings)
        self.change_count = 0
        self.is_write_due = curio.Event()

    def blocked_until(self, fingerprint):
        """Return the `Deadline` until which a request is blocked, or None."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self._is_blocked(suspect):
            return None
        return Deadline(self._clock, self._blocked_until_s(suspect))

    async def target_crashed(self, fingerprint, instance_id):
        """Record that a target crashed during a request of this host."""
        if self._was_answered_recently(fingerprint):
            _logger.event(
                "end of a target does not count against a request",
                fingerprint=fingerprint,
                target=instance_id,
                reason="the request was answered recently",
            )
            return
        suspect = self._suspect(fingerprint)
        suspect.is_observer = True
        now_s = self._clock.monotonic_s()
        if suspect.add(tag_of(instance_id), now_s, is_cleared=False):
            await self._note_change(suspect, source=None)

    def find(self, name):
        """Return the `Suspect` of a request or part, or None."""
        return self._suspects.get(name)

    def suspected_parts(self):
        """Return the `Suspect` of each part of requests at targets that crashed."""
        return [one for name, one in self._suspects.items() if is_part(name)]

    async def target_crashed_with_part(self, name, instance_id, is_trial):
        """Record that a target crashed during a request of this host with a part.

        Parameters
        ----------
        name : str
            The part, see `part_name`.
        instance_id : str
            The target.
        is_trial : bool
            Whether the request was a trial of the part, which was suspected already.
        """
        suspect = self._suspect(name)
        suspect.is_observer = True
        now_s = self._clock.monotonic_s()
        if suspect.add(tag_of(instance_id), now_s, False, is_trial):
            await self._note_change(suspect, source=None)

    async def part_answered(self, name):
        """Record that a request with a part was answered in full."""
        self.answered_parts.note(name)
        suspect = self._suspects.get(name)
        if suspect is None:
            return
        is_new = not suspect.was_answered
        suspect.was_answered = True
        if suspect.clear() or is_new:
            suspect.is_observer = True
            await self._note_change(suspect, source=None)

    async def answered(self, fingerprint):
        """Record that a target has answered a request in full without a crash."""
        now_s = self._clock.monotonic_s()
        self._answered[fingerprint] = now_s
        self._answered.move_to_end(fingerprint)
        self._drop_old_answers(now_s)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.clear():
            suspect.is_observer = True
            await self._note_change(suspect, source=None)

    def statements(self):
        """Return a bounded number of `SuspectStatement` for the peers."""
        now_s = self._clock.monotonic_s()
        self._drop_expired(now_s)
        oldest_s = now_s - self._settings.told_s
        reported = [
            suspect
            for suspect in self._suspects.values()
            if self._is_reported(suspect, oldest_s)
        ]
        reported.sort(key=lambda suspect: -suspect.changed_at_s)
        return [one.statement(now_s) for one in self._select_reported(reported, now_s)]

    async def hear(self, statements, source):
        """Apply statements of a peer or of the store.

        Parameters
        ----------
        statements : list of SuspectStatement
            The statements.
        source : str
            Their sender, for the log.
        """
        now_s = self._clock.monotonic_s()
        for statement in statements:
            if self._is_expired(statement):
                continue
            suspect = self._suspect(statement.fingerprint)
            if suspect.was_answered and not statement.was_answered:
                suspect.is_peer_unaware = True
            if suspect.merge(statement, now_s):
                if self._was_answered_recently(statement.fingerprint):
                    suspect.clear()
                await self._note_change(suspect, source)
            elif not statement.covers(suspect.statement(now_s)):
                # The sender has missed earlier statements: repeat them.
                suspect.changed_at_s = now_s

    async def note_stored(self, statement, source):
        """Apply a statement of the store, and record that the store has it.

        The store keeps records without limit, so expired records are dropped there.
        """
        if self._is_expired(statement):
            if len(self._expired_records) < self._settings.suspects_limit:
                self._expired_records.add(statement.fingerprint)
                await self.is_write_due.set()
            return
        await self.hear([statement], source)
        suspect = self._suspects.get(statement.fingerprint)
        if suspect is not None:
            suspect.note_stored(_counting_marks(statement))
            await self._wake_writer(suspect)

    async def note_dropped(self, fingerprint, source):
        """Record that the store has dropped a request, which was released."""
        self._expired_records.discard(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        is_changed = suspect.clear()
        suspect.note_stored(())
        if is_changed:
            await self._note_change(suspect, source)

    async def note_store_restored(self):
        """Record that the store may have lost any of its records.

        All known records are due to be written again, by any host that has them, since
        the host that observed the crashes may be gone.
        """
        for suspect in self._suspects.values():
            suspect.is_observer = False
            suspect.stored_marks = frozenset()
            await self._wake_writer(suspect)

    def due_writes(self, is_in_turn):
        """Return the statements to write to the store, None for those to drop there.

        Parameters
        ----------
        is_in_turn : bool
            Whether to include statements that any host could write.

        Returns
        -------
        dict of str to SuspectStatement or None
            By fingerprint.
        """
        now_s = self._clock.monotonic_s()
        outdated = self._expired_records - set(self._suspects) if is_in_turn else ()
        due = dict.fromkeys(outdated)
        for suspect in self._suspects.values():
            is_allowed = is_in_turn or suspect.is_observer
            if is_allowed and self._should_be_written(suspect):
                tags = suspect.counting_tags()
                statement = suspect.statement(now_s) if tags else None
                due[suspect.fingerprint] = statement
        return due

    def note_written(self, fingerprint, statement):
        """Record a successful write to the store."""
        self._expired_records.discard(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.note_stored(() if statement is None else _counting_marks(statement))

    def _is_expired(self, statement):
        newest_s = min((crash.age_s for crash in statement.crashes), default=math.inf)
        return newest_s > self._settings.memory_s

    def _should_be_written(self, suspect):
        marks = suspect.counting_marks()
        if marks == suspect.stored_marks:
            return False
        if not marks:
            return True
        # Beyond the limit of crashes, hosts need not have kept the same ones.
        is_full = len(suspect.stored_marks) >= CRASHES_LIMIT and not suspect.is_observer
        return len(marks) >= self._stored_from_count(suspect) and not is_full

    def _stored_from_count(self, suspect):
        if suspect.was_answered:
            return self._settings.answered_end_count
        return self._settings.stored_from_count

    def _is_reported(self, suspect, oldest_s):
        """Return whether a suspect should be reported to peers now.

        A crash of a target also ends many harmless requests, whose parts mostly have
        been answered; a single crash with such a part is of no use to others.
        """
        is_known_sound = suspect.was_answered and not suspect.is_peer_unaware
        least = self._settings.suspected_end_count
        if is_known_sound and len(suspect.counting_tags()) < least:
            return False
        return suspect.changed_at_s >= oldest_s or self._is_blocked(suspect)

    def _is_blocked(self, suspect):
        return self._clock.monotonic_s() < self._blocked_until_s(suspect)

    def _blocked_until_s(self, suspect):
        """Return until when a request is blocked, monotonic seconds."""
        settings = self._settings
        crash_count = len(suspect.counting_tags())
        if crash_count >= settings.end_limit_count:
            return suspect.last_at_s + settings.keep_off_s
        if crash_count >= settings.pause_count:
            return suspect.last_at_s + settings.pause_s
        return -math.inf

    def _suspect(self, fingerprint):
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._evict()
            suspect = self._suspects[fingerprint] = Suspect(fingerprint)
            suspect.was_answered = self.answered_parts.knows(fingerprint)
        return suspect

    def _evict(self):
        if len(self._suspects) < self._settings.suspects_limit:
            return
        least = min(
            self._suspects.values(),
            key=lambda one: (len(one.counting_tags()), one.changed_at_s),
        )
        del self._suspects[least.fingerprint]
        self.change_count += 1
        _logger.event("suspected request forgotten", fingerprint=least.fingerprint)

    async def _note_change(self, suspect, source):
        suspect.changed_at_s = self._clock.monotonic_s()
        self.change_count += 1
        if is_part(suspect.fingerprint):
            self._log_part(suspect, source)
            await self._wake_writer(suspect)
            return
        until = self.blocked_until(suspect.fingerprint)
        _logger.event(
            "request is suspected" if until is None else "request is kept off targets",
            fingerprint=suspect.fingerprint,
            ended_targets=len(suspect.counting_tags()),
            last_end_age_s=round(suspect.changed_at_s - suspect.last_at_s, 3),
            told_by=source,
            kept_off_s=None if until is None else round(until.left_s(), 1),
        )
        await self._wake_writer(suspect)

    def _log_part(self, suspect, source):
        _logger.event(
            "part of prompts noted",
            part=suspect.fingerprint,
            ended_targets=len(suspect.counting_tags()),
            ended_in_trials=len(suspect.trial_tags()),
            was_answered=suspect.was_answered,
            last_end_age_s=round(suspect.changed_at_s - suspect.last_at_s, 3),
            told_by=source,
        )

    async def _wake_writer(self, suspect):
        if self._should_be_written(suspect):
            await self.is_write_due.set()

    def _was_answered_recently(self, fingerprint):
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

    def _drop_expired(self, now_s):
        oldest_s = now_s - self._settings.memory_s
        expired = [one for one in self._suspects.values() if one.last_at_s < oldest_s]
        for suspect in expired:
            del self._suspects[suspect.fingerprint]
            self.change_count += 1

    def _select_reported(self, reported, now_s):
        """Return the suspects to report now: the newest, and others in rotation."""
        limit = self._settings.told_limit
        if len(reported) <= limit:
            return reported
        half = limit // 2
        newest, rest = reported[:half], reported[half:]
        start = int(now_s) * half % len(rest)
        return newest + (rest + rest)[start : start + half]


def _counting_marks(statement):
    return [
        (crash.tag, crash.is_trial)
        for crash in statement.crashes
        if not crash.is_cleared
    ]
