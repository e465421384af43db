"""Evacuated failure domains, whose targets get no requests.

Operators evacuate failure domains by records in a log.  The set of evacuated failure
domains is a function of the log up to a position, so that of two statements the one
with the higher position is newer, whatever its sender.
"""

from siskinthread.observability import part_logger
from siskinthread.peer_news import EvacuationStatement

# How long the end of an evacuation is remembered; longer than targets are cold.
TAKEN_BACK_MEMORY_S = 600.0
# Maximum total length of domain names in a datagram of 8 KB, characters; beyond it
# nothing is sent, since an incomplete set would be a different state.  Names have about
# ten characters.
TOLD_LIMIT = 1024

_logger = part_logger("gateway")


class Evacuations:
    """Set of evacuated failure domains.

    Parameters
    ----------
    settings : GatewaySettings
        How long a domain stays evacuated that a restored source does not list.
    clock : siskinthread.timing.Clock
        Clock for ages.
    """

    __slots__ = (
        "_clock",
        "_domains",
        "_is_too_long",
        "_kept_since_s",
        "_listed",
        "_listeners",
        "_logged_empty",
        "_position",
        "_released_at_s",
        "_settings",
        "_taken_back_at_s",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._position = None
        # Domains that the source lists at the position.
        self._listed = frozenset()
        # Domains that stay evacuated although a restored source does not list them,
        # and since when, monotonic seconds.
        self._kept_since_s = {}
        # The union of both.
        self._domains = frozenset()
        # When evacuations ended in the era of the position, monotonic seconds; these
        # domains are not kept.
        self._released_at_s = {}
        # When evacuations ended in any era, monotonic seconds.
        self._taken_back_at_s = {}
        self._listeners = []
        self._logged_empty = set()
        self._is_too_long = False

    def listen(self, callback):
        """Register a callback for changes.

        Its arguments are the domain and whether it is now evacuated.
        """
        self._listeners.append(callback)

    def advance(self, position, domains, told_by, taken_back=()):
        """Apply what this process has read from the source.

        Parameters
        ----------
        position : siskinthread.source_eras.Position
            Position up to which the source was read.
        domains : iterable of str
            Domains that are evacuated at the position.
        told_by : str
            Name of the source, for the log.
        taken_back : iterable of str
            Domains whose records were removed since the last read.
        """
        self._apply(position, frozenset(domains), told_by, is_own=True)
        if position.era == self._position.era:
            now_s = self._clock.monotonic_s()
            self._release(dict.fromkeys(taken_back, now_s), told_by)

    def hear(self, statement, told_by, is_reader=False):
        """Process the `EvacuationStatement` of a peer.

        Parameters
        ----------
        statement : siskinthread.peer_news.EvacuationStatement or None
            The statement; None is ignored.
        told_by : str
            The peer, for the log.
        is_reader : bool
            Whether the peer is a reader that this host relies on, ahead of this host.
        """
        if statement is None:
            return
        position, domains = statement.position, statement.domains
        if not is_reader or self._position is None or position.era is not None:
            self._apply(position, domains, told_by, is_own=False)
        elif self._position.is_behind(position):
            self._apply(position, domains, told_by, is_own=True)
        if statement.position.era != self._position.era:
            return
        now_s = self._clock.monotonic_s()
        self._release(
            {one: now_s - age_s for one, age_s in statement.released_s.items()}, told_by
        )
        for domain, age_s in statement.kept_s.items():
            self._keep(domain, now_s - age_s)
        self._update_domains(told_by)

    def domains(self):
        """Return the evacuated domains, a frozenset."""
        if self._kept_since_s:
            self._drop_expired()
        return self._domains

    def is_evacuated(self, domain):
        """Return whether targets of a domain must get no requests."""
        return domain in self.domains()

    def count(self):
        """Return the number of evacuated domains."""
        return len(self.domains())

    def taken_back_s_ago(self, domain):
        """Return the time since the end of an evacuation, seconds.

        None if the domain is evacuated, or no end of an evacuation is remembered.
        """
        at_s = self._taken_back_at_s.get(domain)
        if at_s is None or self.is_evacuated(domain):
            return None
        ago_s = self._clock.monotonic_s() - at_s
        return ago_s if ago_s < TAKEN_BACK_MEMORY_S else None

    def statement(self):
        """Return the `EvacuationStatement` to send to peers, or None."""
        if self._position is None:
            return None
        self.domains()
        now_s = self._clock.monotonic_s()
        released_s = {
            domain: now_s - at_s
            for domain, at_s in self._released_at_s.items()
            if now_s - at_s < self._settings.evacuation_kept_s
        }
        kept_s = {one: now_s - at_s for one, at_s in self._kept_since_s.items()}
        names = [*self._listed, *kept_s, *released_s]
        is_too_long = sum(map(len, names)) > TOLD_LIMIT
        if is_too_long and not self._is_too_long:
            _logger.event("too many evacuations to send to peers", count=len(names))
        self._is_too_long = is_too_long
        if is_too_long:
            return None
        return EvacuationStatement(self._position, self._listed, kept_s, released_s)

    def note_target_domains(self, target_domains):
        """Log each evacuated domain without a target, once.

        Parameters
        ----------
        target_domains : set of str
            Domains of all listed targets.
        """
        empty = set(self.domains() - target_domains)
        for domain in sorted(empty - self._logged_empty):
            _logger.event("evacuated failure domain has no target", domain=domain)
        self._logged_empty = empty

    def _apply(self, position, listed, told_by, is_own):
        known = self._position
        if not self._is_newer(position, is_own):
            return
        self._position = position
        if known is not None and known.era != position.era:
            self._released_at_s.clear()
            now_s = self._clock.monotonic_s()
            for domain in self._listed - listed:
                self._kept_since_s[domain] = now_s
                _logger.event(
                    "failure domain stays evacuated over a restore of the source",
                    domain=domain,
                    kept_s=self._settings.evacuation_kept_s,
                    told_by=told_by,
                )
        else:
            now_s = self._clock.monotonic_s()
            for domain in self._listed - listed:
                self._released_at_s[domain] = now_s
        self._listed = listed
        for domain in listed:
            self._kept_since_s.pop(domain, None)
            self._released_at_s.pop(domain, None)
        self._update_domains(told_by)

    def _is_newer(self, position, is_own):
        """Return whether a position is newer than the present one.

        A source that states no era may have been restored to an older state without
        notice.  Then any own read counts as newer, and so does that of a reader which
        this host relies on; a statement of another peer counts only before the first
        of them.
        """
        known = self._position
        if known is None:
            return True
        if position.era is None:
            return is_own and known.era is None
        return known.era is None or known.is_behind(position)

    def _release(self, at_s_by_domain, told_by):
        """Note domains whose evacuation ended in the present era."""
        for domain, at_s in at_s_by_domain.items():
            if domain in self._listed or domain in self._released_at_s:
                continue
            self._released_at_s[domain] = at_s
            self._taken_back_at_s.setdefault(domain, at_s)
            self._kept_since_s.pop(domain, None)
        self._update_domains(told_by)

    def _keep(self, domain, since_s):
        """Keep a domain evacuated that a peer keeps over a restore of the source."""
        is_over = (
            self._clock.monotonic_s() - since_s >= self._settings.evacuation_kept_s
        )
        if not is_over and domain not in self._listed | self._released_at_s.keys():
            self._kept_since_s.setdefault(domain, since_s)

    def _drop_expired(self):
        oldest_s = self._clock.monotonic_s() - self._settings.evacuation_kept_s
        expired = [one for one, at_s in self._kept_since_s.items() if at_s <= oldest_s]
        if expired:
            now_s = self._clock.monotonic_s()
            self._release(dict.fromkeys(expired, now_s), "the end of its keeping")

    def _update_domains(self, told_by):
        """Update the set of evacuated domains, and notify listeners of changes."""
        before = self._domains
        self._domains = self._listed.union(self._kept_since_s)
        for domain in sorted(self._domains - before):
            self._taken_back_at_s.pop(domain, None)
            self._note_change("failure domain is evacuated", domain, told_by)
        for domain in sorted(before - self._domains):
            self._taken_back_at_s[domain] = self._clock.monotonic_s()
            self._note_change("failure domain is taken back", domain, told_by)

    def _note_change(self, message, domain, told_by):
        _logger.event(
            message,
            domain=domain,
            told_by=told_by,
            era=self._position.era,
            offset=self._position.offset,
        )
        for callback in self._listeners:
            callback(domain, domain in self._domains)
