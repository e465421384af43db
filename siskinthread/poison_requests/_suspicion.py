"""Which prompt parts are suspected to crash targets."""


class Suspicion:
    """Evidence against prompt parts, from the crashes of targets so far.

    Parameters
    ----------
    settings : PoisonSettings
        Limits.
    suspects : list of Suspect
        All parts of requests at targets that crashed.

    Notes
    -----
    A crash of a target also ends the other requests at this target, so harmless parts
    occur beside the crashing one.  Two properties distinguish them: they have been
    answered before, and their crashes are explained by another part that was not.
    """

    __slots__ = ("_explained_tags", "_settings", "_tried_by_tag", "_suspects")

    def __init__(self, settings, suspects):
        self._settings = settings
        self._suspects = {one.fingerprint: one for one in suspects}
        # Parts under trial when a target crashed, by the tag of the crash.
        self._tried_by_tag = {}
        for one in suspects:
            for tag in one.trial_tags():
                self._tried_by_tag.setdefault(tag, set()).add(one.fingerprint)
        # Tags of crashes that are attributed to a part that was never answered.
        self._explained_tags = set()
        for one in suspects:
            if one.trial_tags() or self._is_suspected_unanswered(one):
                self._explained_tags |= one.counting_tags()

    def suspected_of(self, names):
        """Return the `Suspect` of each suspected part among some parts."""
        found = [self._suspects.get(name) for name in names]
        return [one for one in found if one is not None and self._is_suspected(one)]

    def confirmed_at_s(self, suspects, names):
        """Return when a trial last showed that requests with some parts crash targets.

        Parameters
        ----------
        suspects : list of Suspect
            Suspected parts of a request.
        names : frozenset of str
            Their names.

        Returns
        -------
        float or None
            Monotonic seconds.  None if no trial has confirmed it, or if the trials also
            had other parts, which may have crashed the targets.
        """
        times_s = [
            at_s
            for one in suspects
            for tag, at_s in one.counting_crashes().items()
            if self._tried_by_tag.get(tag) and self._tried_by_tag[tag] <= names
        ]
        return max(times_s, default=None)

    def _is_suspected(self, suspect):
        if suspect.trial_tags() or self._is_suspected_unanswered(suspect):
            return True
        if not suspect.was_answered:
            return False
        return (
            self._unexplained_incident_count(suspect)
            >= self._settings.answered_end_count
        )

    def _is_suspected_unanswered(self, suspect):
        if suspect.was_answered:
            return False
        times_s = suspect.counting_crashes().values()
        count = _count_incidents(times_s, self._settings.separate_s)
        return count >= self._settings.suspected_end_count

    def _unexplained_incident_count(self, suspect):
        times_s = [
            at_s
            for tag, at_s in suspect.counting_crashes().items()
            if tag not in self._explained_tags
        ]
        return _count_incidents(times_s, self._settings.moment_s)


def _count_incidents(times_s, min_gap_s):
    """Return the number of times that are at least `min_gap_s` apart."""
    count = 0
    last_s = None
    for at_s in sorted(times_s):
        if last_s is None or at_s - last_s >= min_gap_s:
            count += 1
            last_s = at_s
    return count
