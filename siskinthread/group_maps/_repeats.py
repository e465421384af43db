"""Time to allow for retries of orders.

Load pattern: for some seconds, ranks leave part of the orders unanswered.  All ranks
must be armed before the held pass is due, or the group stalls at that pass.
"""

import math

# Probability that all ranks are armed before the held pass. A lower value stalls the
# group more often; a higher value delays the change.
ARMED_IN_TIME = 0.8
# Upper bound for the estimated share of unanswered attempts. In the end all orders of a
# change are answered, so a higher share is an artefact of few attempts.
SHARE_LIMIT = 0.75
# Answered attempts that are allowed for, out of a hold, an arm and a release. A release
# is executed before its response arrives. Without retries they take less than a pass.
ANSWERED_ATTEMPTS = 2
# Bound of the search; more than the attempts of a hold, an arm and a release together.
RETRIES_LIMIT = 60


class AttemptCounts:
    """Counts of the attempts to send orders.

    Attributes
    ----------
    sent, unanswered, retries : int
        All attempts; attempts without a response; and retries, which are all attempts
        but the first of each order.
    delayed : int
        Attempts that ended late because this process itself was delayed.
    """

    __slots__ = ("delayed", "retries", "sent", "unanswered")

    def __init__(self, sent=0, unanswered=0, retries=0, delayed=0):
        self.sent = sent
        self.unanswered = unanswered
        self.retries = retries
        self.delayed = delayed

    def note(self, is_retry, is_unanswered, is_delayed):
        """Count an attempt; a delayed attempt doesn't count as unanswered."""
        self.sent += 1
        self.retries += is_retry
        self.delayed += is_delayed
        self.unanswered += is_unanswered and not is_delayed

    def copy(self):
        """Return a copy of the current counts."""
        return AttemptCounts(self.sent, self.unanswered, self.retries, self.delayed)

    def unanswered_share(self, earlier):
        """Return the share of unanswered attempts since an earlier copy.

        Delayed attempts are left out.  The result is one standard error above the
        measured share: a hold that is too far ahead costs a pass or two, and a hold
        that is too near stalls the group.
        """
        judged = self.sent - earlier.sent - (self.delayed - earlier.delayed)
        if not judged:
            return 0.0
        share = (self.unanswered - earlier.unanswered) / judged
        return share + math.sqrt(share * (1.0 - share) / judged)


def retry_allowance_s(rank_count, unanswered_share, timeout_s):
    """Return the time to allow for retries of a hold, the arms and a release.

    The three steps are sequential, and arms go to all ranks at the same time, so arming
    needs as many rounds as the rank that loses most orders.

    Parameters
    ----------
    rank_count : int
        Number of ranks that must be armed.
    unanswered_share : float
        Share of attempts that are not answered.
    timeout_s : float
        Timeout of an attempt, seconds.

    Returns
    -------
    float
        Seconds within which all of these orders are answered with the probability
        `ARMED_IN_TIME`.
    """
    share = min(SHARE_LIMIT, unanswered_share)
    if share <= 0.0:
        return 0.0
    for retries in range(RETRIES_LIMIT):
        # Hold and release together need k retries with the probability
        # (k + 1) (1 - share)^2 share^k.
        in_time = sum(
            (k + 1)
            * (1.0 - share) ** 2
            * share**k
            * (1.0 - share ** (retries - k + 1)) ** rank_count
            for k in range(retries + 1)
        )
        if in_time >= ARMED_IN_TIME:
            break
    return (retries + ANSWERED_ATTEMPTS) * timeout_s
