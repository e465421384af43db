"""Which parts of prompts are suspected, from the ends of targets under them."""


class Suspicion:
    """What the ends of targets show of parts of prompts at one moment.

    Parameters
    ----------
    settings : PoisonSettings
        Limits.
    suspects : list of Suspect
        All parts under which targets have ended.

    Notes
    -----
    A target that ends takes all of its requests along, so that sound parts are found
    beside the crashing one.  Two things set them apart: they have been answered before,
    and their ends are explained by another part that was not.
    """

    __slots__ = ("_explained", "_settings", "_shown", "_suspects")

    def __init__(self, settings, suspects):
        self._settings = settings
        self._suspects = {one.fingerprint: one for one in suspects}
        # Parts that were tried when a target ended, by the name of that end.
        self._shown = {}
        for one in suspects:
            for tag in one.trial_tags():
                self._shown.setdefault(tag, set()).add(one.fingerprint)
        # Ends for which a part is held responsible that was never answered.
        self._explained = set()
        for one in suspects:
            if one.trial_tags() or self._is_suspected_unanswered(one):
                self._explained |= one.counting_tags()

    def suspected_of(self, names):
        """Return the `Suspect` of each of some parts that is suspected."""
        found = [self._suspects.get(name) for name in names]
        return [one for one in found if one is not None and self._is_suspected(one)]

    def shown_at_s(self, suspects, names):
        """Return when a try has last shown that requests with some parts end targets.

        Parameters
        ----------
        suspects : list of Suspect
            Those of a request.
        names : frozenset of str
            Their names.

        Returns
        -------
        float or None
            Monotonic seconds.  None if no try has shown it, or only tries that had
            other parts besides, which may be what ended the targets.
        """
        times_s = [
            at_s
            for one in suspects
            for tag, at_s in one.counting_ends().items()
            if self._shown.get(tag) and self._shown[tag] <= names
        ]
        return max(times_s, default=None)

    def _is_suspected(self, suspect):
        if suspect.trial_tags() or self._is_suspected_unanswered(suspect):
            return True
        if not suspect.was_answered:
            return False
        return self._unexplained_moments(suspect) >= self._settings.answered_end_count

    def _is_suspected_unanswered(self, suspect):
        if suspect.was_answered:
            return False
        times_s = suspect.counting_ends().values()
        count = _moments_count(times_s, self._settings.separate_s)
        return count >= self._settings.suspected_end_count

    def _unexplained_moments(self, suspect):
        times_s = [
            at_s
            for tag, at_s in suspect.counting_ends().items()
            if tag not in self._explained
        ]
        return _moments_count(times_s, self._settings.moment_s)


def _moments_count(times_s, least_s):
    """Return how many of some times are apart from one another, in their order."""
    count = 0
    last_s = None
    for at_s in sorted(times_s):
        if last_s is None or at_s - last_s >= least_s:
            count += 1
            last_s = at_s
    return count
