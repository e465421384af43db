"""Whether one target is cold, and the recent requests of this host to it."""

import math
from collections import deque


class ColdTarget:
    """Known state of one target of a service with cold starts.

    Parameters
    ----------
    entry : siskinthread.gateway.TargetEntry
        The target.

    Attributes
    ----------
    held_count : int
        Requests for which the target was chosen and which are not yet written.
    answered_at_s : float
        When the target answered last, monotonic seconds.
    has_failed : bool
        Whether it has failed since its last answer.
    failed_at_s : float
        When it first failed since its last answer, monotonic seconds.
    is_unlisted : bool
        Whether it is no longer listed.
    """

    __slots__ = (
        "_peer_failed_at_s",
        "_peer_failure_end_s",
        "_peer_failures",
        "_peer_stated_at_s",
        "_peer_stated_end_s",
        "_assumed_at_s",
        "_report",
        "_sent_s",
        "_stated_at_s",
        "_stated_end_s",
        "answered_at_s",
        "failed_at_s",
        "failure_domain",
        "has_failed",
        "held_count",
        "instance_id",
        "is_unlisted",
        "service_name",
    )

    def __init__(self, entry):
        self.instance_id = entry.instance_id
        self.service_name = entry.service_name
        self.failure_domain = entry.failure_domain
        self.held_count = 0
        self.answered_at_s = -math.inf
        self.has_failed = False
        self.failed_at_s = -math.inf
        self.is_unlisted = False
        # Start of a cold time that is assumed without a statement of the target.
        self._assumed_at_s = -math.inf
        self._stated_at_s = -math.inf
        self._stated_end_s = -math.inf
        # Last statement of a peer.
        self._peer_stated_at_s = -math.inf
        self._peer_stated_end_s = -math.inf
        # Time of the failure and failure domain of the host, by reporting peer.
        self._peer_failures = {}
        self._peer_failed_at_s = -math.inf
        self._peer_failure_end_s = -math.inf
        # Number and cold time of the last list entry.
        self._report = None
        # Times at which requests to it were written, monotonic seconds.
        self._sent_s = deque()

    def assume_cold(self, now_s):
        """Assume that a cold time starts now."""
        self._assumed_at_s = now_s

    def apply_statement(self, left_s, now_s):
        """Apply the target's own statement of its remaining cold time."""
        self._stated_at_s = now_s
        self._stated_end_s = now_s + left_s

    def apply_peer_statement(self, left_s, now_s):
        """Apply a peer's statement of the target's remaining cold time."""
        self._peer_stated_at_s = now_s
        self._peer_stated_end_s = now_s + left_s

    def note_failure(self, now_s):
        """Record that the target failed a request of this host."""
        if not self.has_failed:
            self.has_failed = True
            self.failed_at_s = now_s

    def apply_peer_failure(self, source, domain, own_domain, failed_at_s, valid_s):
        """Apply a failure that a peer reports; return whether the target may be cold.

        A single host may have lost its own link, and a failure domain its route to the
        target.  So two hosts must report the failure, of this host's failure domain or
        of two different ones.

        Parameters
        ----------
        source, domain : str
            The peer and its failure domain.
        own_domain : str
            Failure domain of this host.
        failed_at_s : float
            When the target failed the peer, monotonic seconds.
        valid_s : float
            How long the failure counts, seconds.
        """
        self._peer_failures = {
            peer: failure
            for peer, failure in self._peer_failures.items()
            if failure[0] > failed_at_s - valid_s
        }
        self._peer_failures[source] = failed_at_s, domain
        domains = {one for _, one in self._peer_failures.values()}
        if len(self._peer_failures) < 2 or (
            len(domains) < 2 and own_domain not in domains
        ):
            return False
        self._peer_failed_at_s = max(self._peer_failed_at_s, failed_at_s)
        self._peer_failure_end_s = self._peer_failed_at_s + valid_s
        return True

    def stated_left_s(self, now_s):
        """Return the remaining cold time as stated to this host, seconds.

        Statements of peers are excluded: hosts that repeat each other's statements
        would keep them alive for ever.
        """
        return max(0.0, self._stated_end_s - now_s)

    def apply_report(self, number, left_s, now_s):
        """Apply the cold time of the target's list entry.

        Parameters
        ----------
        number : int
            Number of the report.
        left_s : float
            Remaining cold time at the time of the report, seconds.
        now_s : float
            Now, monotonic seconds.

        Notes
        -----
        A report with a lower number than the last one is an older copy, or the target
        has restarted its count: such a report can extend the cold time, not end it.
        """
        report, known = (number, left_s), self._report
        if report == known:
            # The same report was read again, as from a peer in an outage of the list.
            return
        self._report = report
        if known is None or number >= known[0]:
            self.apply_statement(left_s, now_s)
        else:
            self._stated_end_s = max(self._stated_end_s, now_s + left_s)

    def cold_left_s(self, now_s, start_s, taken_back_at_s):
        """Return the remaining cold time, seconds; 0 if the target is not cold.

        Parameters
        ----------
        now_s : float
            Now, monotonic seconds.
        start_s : float
            How long targets of its service are cold after a start, seconds.
        taken_back_at_s : float
            When its failure domain was taken back after an evacuation, monotonic
            seconds.
        """
        if self.has_failed:
            return start_s
        end_s = self._stated_end_s
        if self._peer_stated_at_s >= self._stated_at_s:
            end_s = max(end_s, self._peer_stated_end_s)
        if self._peer_failed_at_s > max(self.answered_at_s, self._stated_at_s):
            end_s = max(end_s, self._peer_failure_end_s)
        began_at_s = max(self._assumed_at_s, taken_back_at_s)
        if began_at_s >= self._stated_at_s:
            end_s = max(end_s, began_at_s + start_s)
        return max(0.0, end_s - now_s)

    def note_sent(self, now_s, most_count):
        """Record a written request; keep the last `most_count` times."""
        self._sent_s.append(now_s)
        while len(self._sent_s) > most_count:
            self._sent_s.popleft()

    def used_count(self, now_s, window_s):
        """Return the requests of the last window and the requests not yet written."""
        self._drop_until(now_s - window_s)
        return self.held_count + len(self._sent_s)

    def wait_s(self, now_s, window_s):
        """Return the time until the oldest request leaves the window, seconds."""
        self._drop_until(now_s - window_s)
        if not self._sent_s:
            return 0.0
        return max(0.0, self._sent_s[0] + window_s - now_s)

    def _drop_until(self, oldest_s):
        sent_s = self._sent_s
        while sent_s and sent_s[0] <= oldest_s:
            sent_s.popleft()
