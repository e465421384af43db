"""A caller's request on its way through the gateway."""

from siskinthread.poison_requests import fingerprint, part_name

# Ids of parts in a log line.
LOGGED_PARTS_LIMIT = 8


class TokenCounts:
    """Size of a request to a model.

    Parameters
    ----------
    prompt, most_output : int
        Tokens of the prompt, and the most tokens that the answer may have.
    """

    __slots__ = ("most_output", "prompt")

    def __init__(self, prompt, most_output):
        self.prompt = prompt
        self.most_output = most_output


class RequestFacts:
    """What the headers of a request state.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt; empty if it gave none.
    api_key : str or None
        The caller's key.
    wait_limit_s : float or None
        How long the caller will wait, seconds.
    last_event_id : int or None
        Id of the last event that the caller has of a stream.
    token_counts : TokenCounts or None
        Its size, if the caller states it.
    output_hint : int or None
        The caller's estimate of the tokens of the answer, which is often far off.
    shared_parts : tuple of str
        Ids of the parts of its prompt that other requests may have as well, in their
        order: all but the last one, which is its own.
    """

    __slots__ = (
        "api_key",
        "last_event_id",
        "output_hint",
        "request_id",
        "shared_parts",
        "token_counts",
        "wait_limit_s",
    )

    def __init__(
        self,
        request_id,
        api_key,
        wait_limit_s,
        last_event_id=None,
        token_counts=None,
        output_hint=None,
        shared_parts=(),
    ):
        self.request_id = request_id
        self.api_key = api_key
        self.wait_limit_s = wait_limit_s
        self.last_event_id = last_event_id
        self.token_counts = token_counts
        self.output_hint = output_hint
        self.shared_parts = shared_parts


class GatewayRequest:
    """A request that the gateway has accepted.

    Parameters
    ----------
    head : siskinthread.http_server.RequestHead
        Request line and headers as the caller sent them.
    body : bytes
        The whole body.
    facts : RequestFacts
        What its headers state.
    route : Route
        The route in force when it came.
    service_name : str
        Service that it goes to.
    account : Account or None
        Whose key it carries; None on a public route.
    table_version : int
        Version of the routes that it was accepted by.
    deadline : siskinthread.timing.Deadline
        When its final answer is due.

    Attributes
    ----------
    is_return : bool
        Whether its caller was refused before and has come back as it was told.
    has_promise : bool
        Whether it is a return for which this host had promised a place.
    is_return_promised : bool
        Whether its caller was refused and promised a place at its return.
    is_late : bool
        Whether its answer can't be in time for its objective any more.
    is_paced : bool
        Whether it waits and is sent at a pace that allows for what peers send, so that
        it may have one of the last free slots.
    """

    __slots__ = (
        "_fingerprint",
        "_part_names",
        "account",
        "body",
        "deadline",
        "facts",
        "has_promise",
        "head",
        "is_late",
        "is_paced",
        "is_return",
        "is_return_promised",
        "route",
        "service_name",
        "table_version",
    )

    def __init__(
        self, head, body, facts, route, service_name, account, table_version, deadline
    ):
        self.head = head
        self.body = body
        self.facts = facts
        self.route = route
        self.service_name = service_name
        self.account = account
        self.table_version = table_version
        self.deadline = deadline
        self.is_late = False
        self.is_paced = False
        self.is_return = False
        self.has_promise = False
        self.is_return_promised = False
        self._fingerprint = None
        self._part_names = None

    @property
    def request_id(self):
        """The caller's id of this attempt."""
        return self.facts.request_id

    @property
    def fingerprint(self):
        """What all tries of its caller at this request have in common."""
        if self._fingerprint is None:
            caller = self.account.name if self.account else self.facts.api_key or ""
            host = self.head.value("host") or ""
            self._fingerprint = fingerprint(host, self.head.target, caller, self.body)
        return self._fingerprint

    @property
    def part_names(self):
        """Names under which the shared parts of its prompt are suspected, a tuple."""
        if self._part_names is None:
            self._part_names = tuple(
                part_name(self.service_name, one) for one in self.facts.shared_parts
            )
        return self._part_names

    def logged_parts(self):
        """Return the ids of the first shared parts of its prompt, for the log."""
        return list(self.facts.shared_parts[:LOGGED_PARTS_LIMIT])

    @property
    def kind(self):
        """What may be repeated, a `RequestKind`."""
        return self.route.kind

    @property
    def priority(self):
        """Rank of the request, 0 first; the account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class LoadReport:
    """Load that a target states with an answer.

    Parameters
    ----------
    running, waiting, slot_count : int
        Requests that run, that wait, and that can run at once.
    """

    __slots__ = ("running", "slot_count", "waiting")

    def __init__(self, running, waiting, slot_count):
        self.running = running
        self.waiting = waiting
        self.slot_count = slot_count


class AnswerFacts:
    """What the headers of a target's answer state.

    Parameters
    ----------
    request_id : str or None
        The request that it answers.
    not_run : bool
        Whether the target says that it did not and will not run the request.
    is_other_instance : bool
        Whether another target than the expected one listens at the address.
    is_group_fault : bool
        Whether the target declines since another rank of its group has failed.
    load : LoadReport or None
        The target's load.
    rest_limit_s : float or None
        How long the target keeps an idle connection, seconds.
    closes : bool
        Whether the connection ends with this answer.
    stated_limit : siskinthread.target_limits.StatedLimit
        What it says of the rate of requests that the target takes.
    stated_backoff : siskinthread.target_limits.StatedBackoff
        For how long the target wants no request from this entry.
    is_leaving : bool
        Whether it says that the target leaves.
    cold_left_s : float or None
        For how long the target says that it is cold after a start, seconds; None if
        it does not say.
    """

    __slots__ = (
        "closes",
        "cold_left_s",
        "is_group_fault",
        "is_leaving",
        "is_other_instance",
        "load",
        "not_run",
        "request_id",
        "rest_limit_s",
        "stated_limit",
        "stated_backoff",
    )

    def __init__(
        self,
        request_id,
        not_run,
        is_other_instance,
        is_group_fault,
        load,
        rest_limit_s,
        closes,
        stated_limit,
        stated_backoff,
        is_leaving,
        cold_left_s=None,
    ):
        self.request_id = request_id
        self.not_run = not_run
        self.is_other_instance = is_other_instance
        self.is_group_fault = is_group_fault
        self.load = load
        self.rest_limit_s = rest_limit_s
        self.closes = closes
        self.stated_limit = stated_limit
        self.stated_backoff = stated_backoff
        self.is_leaving = is_leaving
        self.cold_left_s = cold_left_s
