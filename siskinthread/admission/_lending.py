"""Lending of shares of limits between entry hosts, according to demand."""

import itertools

from siskinthread.admission._shares import ShareSource
from siskinthread.routing import rank_hosts
from siskinthread.timing import Deadline


class ShareRequest:
    """Request to an entry host to lend its share of an account's limit.

    Parameters
    ----------
    borrower, lender : str
        Names of the entry hosts.
    account_name : str
        Name of the account.
    number : int
        Identifies the request among those of the borrower.
    """

    __slots__ = ("account_name", "borrower", "lender", "number")

    def __init__(self, borrower, lender, account_name, number):
        self.borrower = borrower
        self.lender = lender
        self.account_name = account_name
        self.number = number


class ShareGrant:
    """Loan of a share in answer to a `ShareRequest`.

    Parameters
    ----------
    request : ShareRequest
        The request that is granted.
    fraction : float
        Lent share of the account's limit, from 0 to 1.
    """

    __slots__ = ("fraction", "request")

    def __init__(self, request, fraction):
        self.request = request
        self.fraction = fraction


class LentShares(ShareSource):
    """Base shares, lent to the entry hosts that have the demand.

    Parameters
    ----------
    settings : ShareSettings
        Lease, idle time and size of loans.
    base : ShareSource
        Shares before lending.
    membership : siskinthread.membership.MembershipView
        The other entry hosts.
    own_host : str
        Name of this entry host.
    clock : siskinthread.timing.Clock
        Clock for the deadlines.

    Notes
    -----
    The lender gives up a share before it answers, until its own deadline, which lies a
    margin beyond the lease.  The borrower uses the share for the lease counted from its
    request.  If the borrower counted from the arrival of the grant, a delayed grant
    would be used after the lender had taken the share back, both would admit requests
    on it, and the account would exceed its limit after each delay in the network.
    """

    __slots__ = (
        "_sent_requests",
        "_base",
        "_clock",
        "_listeners",
        "_lent",
        "_membership",
        "_numbers",
        "_own_host",
        "_idle_deadlines",
        "_settings",
        "_borrowed",
        "_demand_deadlines",
    )

    def __init__(self, settings, base, membership, own_host, clock):
        self._settings = settings
        self._base = base
        self._membership = membership
        self._own_host = own_host
        self._clock = clock
        self._listeners = []
        self._numbers = itertools.count(1)
        self._idle_deadlines = {}
        self._demand_deadlines = {}
        self._sent_requests = {}
        self._lent = {}
        self._borrowed = {}

    def fraction(self, account_name):
        """Return the base share, less what is lent, plus what is borrowed."""
        lent = _current_total(self._lent.get(account_name))
        borrowed = _current_total(self._borrowed.get(account_name))
        own = max(0.0, self._base.fraction(account_name) - lent)
        return min(1.0, own + borrowed)

    def listen(self, callback):
        """Call `callback(account_name)` when a share is lent or about to be used."""
        self._listeners.append(callback)

    def note_demand(self, account_name, admitted):
        """Record a request of an account, and whether it was admitted."""
        self._idle_deadlines[account_name] = Deadline.after(
            self._clock, self._settings.idle_s
        )
        if not admitted:
            demand_deadline = Deadline.after(self._clock, self._settings.wish_s)
            self._demand_deadlines[account_name] = demand_deadline

    def requests_to_send(self):
        """Return the `ShareRequest` messages to send now.

        For each account that was refused recently, they go to ``ask_count`` entry hosts
        that were not asked within the last lease and hence are not lending either.
        """
        _drop_expired(self._demand_deadlines)
        _drop_expired(self._sent_requests)
        messages = []
        for account_name in self._demand_deadlines:
            for lender in self._next_lenders(account_name):
                messages.append(self._make_request(lender, account_name))
        return messages

    def handle_request(self, request):
        """Return the `ShareGrant` for another host's request, or None if declined."""
        account_name = request.account_name
        loans = self._lent.setdefault(account_name, {})
        _drop_expired_loans(loans)
        idle_deadline = self._idle_deadlines.get(account_name)
        is_idle = idle_deadline is None or idle_deadline.passed()
        if loans or not is_idle:
            return None
        fraction = self._base.fraction(account_name) * self._settings.lend_fraction
        wait_s = self._settings.lease_s * (1.0 + self._settings.margin_fraction)
        loans[request.borrower] = _Loan(fraction, Deadline.after(self._clock, wait_s))
        # The buckets switch to the smaller share now.  Otherwise a bucket that is not
        # used during the loan would later be refilled at the full rate for the time in
        # which the borrower used the share.
        self._notify_listeners(account_name)
        return ShareGrant(request, fraction)

    def handle_grant(self, grant):
        """Use a granted share; ignore a late grant or one of an unknown request."""
        request = grant.request
        key = request.account_name, request.lender
        sent = self._sent_requests.get(key)
        if sent is None or sent.number != request.number or sent.deadline.passed():
            return
        # The buckets are refilled at the present share first.  Otherwise the time
        # between two loans would be refilled as if the first loan had lasted until the
        # second.
        self._notify_listeners(request.account_name)
        borrowed = self._borrowed.setdefault(request.account_name, {})
        _drop_expired_loans(borrowed)
        borrowed[request.lender] = _Loan(grant.fraction, sent.deadline)

    def _notify_listeners(self, account_name):
        for callback in self._listeners:
            callback(account_name)

    def _next_lenders(self, account_name):
        others = [host for host in self._membership.entries() if host != self._own_host]
        free = [
            host for host in others if (account_name, host) not in self._sent_requests
        ]
        # The ranking depends on the account and the borrower, so that borrowers of
        # different accounts, and different borrowers of one account, ask different
        # hosts.
        ranked = rank_hosts(free, f"{account_name}/{self._own_host}")
        return ranked[: self._settings.ask_count]

    def _make_request(self, lender, account_name):
        number = next(self._numbers)
        deadline = Deadline.after(self._clock, self._settings.lease_s)
        self._sent_requests[account_name, lender] = _SentRequest(number, deadline)
        return ShareRequest(self._own_host, lender, account_name, number)


class _SentRequest:
    """A `ShareRequest` that was sent; a loan granted for it ends at the deadline."""

    __slots__ = ("deadline", "number")

    def __init__(self, number, deadline):
        self.number = number
        self.deadline = deadline

    def passed(self):
        """Return whether a loan granted for the request would have ended."""
        return self.deadline.passed()


class _Loan:
    """A share that is lent or borrowed until a deadline."""

    __slots__ = ("deadline", "fraction")

    def __init__(self, fraction, deadline):
        self.fraction = fraction
        self.deadline = deadline


def _current_total(loans):
    if not loans:
        return 0.0
    return sum(loan.fraction for loan in loans.values() if not loan.deadline.passed())


def _drop_expired(deadlines):
    for key in [key for key, deadline in deadlines.items() if deadline.passed()]:
        del deadlines[key]


def _drop_expired_loans(loans):
    for host in [host for host, loan in loans.items() if loan.deadline.passed()]:
        del loans[host]
