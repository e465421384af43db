"""Parts of limits that entry hosts lend to each other by demand."""

import itertools

from siskinthread.admission._shares import ShareSource
from siskinthread.routing import rank_hosts
from siskinthread.timing import Deadline


class ShareRequest:
    """Asks an entry host to lend its part of an account's limit.

    Parameters
    ----------
    borrower, lender : str
        Names of the entry hosts.
    account_name : str
        The account.
    number : int
        Tells the borrower's requests apart.
    """

    __slots__ = ("account_name", "borrower", "lender", "number")

    def __init__(self, borrower, lender, account_name, number):
        self.borrower = borrower
        self.lender = lender
        self.account_name = account_name
        self.number = number


class ShareGrant:
    """Lends a part; sent back for a `ShareRequest`.

    Parameters
    ----------
    request : ShareRequest
        What is answered.
    fraction : float
        Part of the account's limit, from 0 to 1.
    """

    __slots__ = ("fraction", "request")

    def __init__(self, request, fraction):
        self.request = request
        self.fraction = fraction


class LentShares(ShareSource):
    """Equal parts, lent to the hosts where the demand is.

    Parameters
    ----------
    settings : ShareSettings
        Times and sizes.
    base : ShareSource
        The equal parts.
    membership : siskinthread.membership.MembershipView
        The other entry hosts.
    own_host : str
        Name of this entry host.
    clock : siskinthread.timing.Clock
        Clock of the deadlines.

    Notes
    -----
    The lender gives a part up before it answers, until a deadline of its own that lies
    a margin beyond the lease.  The borrower uses it for the lease counted from its
    request.  If the borrower counted from the answer's arrival, an answer that was
    under way for long would be used after the lender had taken the part back, and both
    would grant it; one would notice an account above its limit after each delay.
    """

    __slots__ = (
        "_asked",
        "_base",
        "_clock",
        "_listeners",
        "_loans",
        "_membership",
        "_numbers",
        "_own_host",
        "_seen",
        "_settings",
        "_taken",
        "_wanting",
    )

    def __init__(self, settings, base, membership, own_host, clock):
        self._settings = settings
        self._base = base
        self._membership = membership
        self._own_host = own_host
        self._clock = clock
        self._listeners = []
        self._numbers = itertools.count(1)
        self._seen = {}
        self._wanting = {}
        self._asked = {}
        self._loans = {}
        self._taken = {}

    def fraction(self, account_name):
        """Return the equal part, less what is lent, plus what is borrowed."""
        lent = _sum_of_current(self._loans.get(account_name))
        taken = _sum_of_current(self._taken.get(account_name))
        own = max(0.0, self._base.fraction(account_name) - lent)
        return min(1.0, own + taken)

    def listen(self, callback):
        """Call `callback(account_name)` when a part was given up or is to be taken."""
        self._listeners.append(callback)

    def note_demand(self, account_name, granted):
        """Take in that a request of an account came, and whether it was granted."""
        self._seen[account_name] = Deadline.after(self._clock, self._settings.idle_s)
        if not granted:
            wish = Deadline.after(self._clock, self._settings.wish_s)
            self._wanting[account_name] = wish

    def requests(self):
        """Return the `ShareRequest` messages to send now.

        For each account that was refused lately, a few hosts are asked that are not
        lending to this one and were not asked within the last lease.
        """
        _drop_passed(self._wanting)
        _drop_passed(self._asked)
        messages = []
        for account_name in self._wanting:
            for lender in self._next_lenders(account_name):
                messages.append(self._ask(lender, account_name))
        return messages

    def answer(self, request):
        """Return the `ShareGrant` for another host's request, or None."""
        account_name = request.account_name
        loans = self._loans.setdefault(account_name, {})
        _drop_passed_loans(loans)
        seen = self._seen.get(account_name)
        is_idle = seen is None or seen.passed()
        if loans or not is_idle:
            return None
        fraction = self._base.fraction(account_name) * self._settings.lend_fraction
        wait_s = self._settings.lease_s * (1.0 + self._settings.margin_fraction)
        loans[request.borrower] = _Loan(fraction, Deadline.after(self._clock, wait_s))
        # A bucket that is not used until the part is back would be refilled at the
        # whole rate for the time in which the borrower used it.
        self._settle(account_name)
        return ShareGrant(request, fraction)

    def take(self, grant):
        """Take in the answer to an own request; late and unknown ones are ignored."""
        request = grant.request
        key = request.account_name, request.lender
        asked = self._asked.get(key)
        if asked is None or asked.number != request.number or asked.deadline.passed():
            return
        # Without settling, the time between two loans would be refilled as if the
        # first one had lasted until the second.
        self._settle(request.account_name)
        taken = self._taken.setdefault(request.account_name, {})
        _drop_passed_loans(taken)
        taken[request.lender] = _Loan(grant.fraction, asked.deadline)

    def _settle(self, account_name):
        for callback in self._listeners:
            callback(account_name)

    def _next_lenders(self, account_name):
        others = [host for host in self._membership.entries() if host != self._own_host]
        free = [host for host in others if (account_name, host) not in self._asked]
        # Ranked by account, so that the borrowers of different accounts ask different
        # hosts, and by borrower, so that two of one account do.
        ranked = rank_hosts(free, f"{account_name}/{self._own_host}")
        return ranked[: self._settings.ask_count]

    def _ask(self, lender, account_name):
        number = next(self._numbers)
        deadline = Deadline.after(self._clock, self._settings.lease_s)
        self._asked[account_name, lender] = _Asked(number, deadline)
        return ShareRequest(self._own_host, lender, account_name, number)


class _Asked:
    """A request that was sent; a loan for it ends at the deadline."""

    __slots__ = ("deadline", "number")

    def __init__(self, number, deadline):
        self.number = number
        self.deadline = deadline

    def passed(self):
        """Return whether a loan for it would have ended."""
        return self.deadline.passed()


class _Loan:
    """A part that is lent or borrowed."""

    __slots__ = ("deadline", "fraction")

    def __init__(self, fraction, deadline):
        self.fraction = fraction
        self.deadline = deadline


def _sum_of_current(loans):
    if not loans:
        return 0.0
    return sum(loan.fraction for loan in loans.values() if not loan.deadline.passed())


def _drop_passed(deadlines):
    for key in [key for key, deadline in deadlines.items() if deadline.passed()]:
        del deadlines[key]


def _drop_passed_loans(loans):
    for host in [host for host, loan in loans.items() if loan.deadline.passed()]:
        del loans[host]
