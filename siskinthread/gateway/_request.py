"""A caller's request, and the facts that headers of requests and answers state."""

from siskinthread.poison_requests import fingerprint, part_name

# Number of part ids in a log line.
LOGGED_PARTS_LIMIT = 8


class TokenCounts:
    """Size of a request to a model.

    Parameters
    ----------
    prompt : int
        Number of tokens of the prompt.
    most_output : int
        Largest number of tokens that the answer may have.
    """

    __slots__ = ("most_output", "prompt")

    def __init__(self, prompt, most_output):
        self.prompt = prompt
        self.most_output = most_output


class RequestFacts:
    """Facts that the headers of a request state.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt; empty if not stated.
    api_key : str or None
        The caller's API key.
    wait_limit_s : float or None
        How long the caller will wait, seconds.
    last_event_id : int or None
        Id of the last event of a stream that the caller has received.
    token_counts : TokenCounts or None
        Size of the request, if stated.
    output_hint : int or None
        The caller's estimate of the number of output tokens, which is often far off.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in order: all
        parts but the last one, which is specific to the request.
    is_for_target : bool
        Whether an entry host has sent the request on to what it takes for a target.
    """

    __slots__ = (
        "api_key",
        "is_for_target",
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
        is_for_target=False,
    ):
        self.request_id = request_id
        self.api_key = api_key
        self.wait_limit_s = wait_limit_s
        self.last_event_id = last_event_id
        self.token_counts = token_counts
        self.output_hint = output_hint
        self.shared_parts = shared_parts
        self.is_for_target = is_for_target


class GatewayRequest:
    """A request that the gateway has accepted.

    Parameters
    ----------
    head : siskinthread.http_server.RequestHead
        Request line and headers as the caller sent them.
    body : bytes
        The complete body.
    facts : RequestFacts
        Facts that its headers state.
    route : Route
        The route in force on arrival.
    service_name : str
        Service that gets the request.
    account : Account or None
        Client account of the API key; None if no key is required.
    table_version : int
        Version of the routes in force on arrival.
    deadline : siskinthread.timing.Deadline
        When the final answer is due.

    Attributes
    ----------
    is_return : bool
        Whether the caller was refused before and has retried after the announced delay.
    has_promise : bool
        Whether the request is a return for which this host has booked a place.
    is_return_promised : bool
        Whether a place was booked for the return of the caller when this request was
        refused.
    is_late : bool
        Whether the answer can no longer meet the latency objective.
    is_paced : bool
        Whether the request has waited and is released at a pace that accounts for the
        requests of peers, so that it may use one of the last free slots.
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
        """Digest that is the same for all attempts and retries of this request."""
        if self._fingerprint is None:
            caller = self.account.name if self.account else self.facts.api_key or ""
            host = self.head.value("host") or ""
            self._fingerprint = fingerprint(host, self.head.target, caller, self.body)
        return self._fingerprint

    @property
    def part_names(self):
        """Names of the shared parts in the register of suspects, `tuple` of `str`."""
        if self._part_names is None:
            self._part_names = tuple(
                part_name(self.service_name, one) for one in self.facts.shared_parts
            )
        return self._part_names

    def logged_parts(self):
        """Return the ids of the first shared parts of the prompt, for the log."""
        return list(self.facts.shared_parts[:LOGGED_PARTS_LIMIT])

    @property
    def kind(self):
        """`RequestKind`, which states how the request may be repeated."""
        return self.route.kind

    @property
    def priority(self):
        """Priority, 0 is the most urgent; the account's overrides the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class LoadReport:
    """Load that a target states in an answer.

    Parameters
    ----------
    running, waiting : int
        Number of running and of queued requests.
    slot_count : int
        Number of requests that can run at once.
    """

    __slots__ = ("running", "slot_count", "waiting")

    def __init__(self, running, waiting, slot_count):
        self.running = running
        self.waiting = waiting
        self.slot_count = slot_count


class AnswerFacts:
    """Facts that the headers of a target's answer state.

    Parameters
    ----------
    request_id : str or None
        Id of the answered request.
    not_run : bool
        Whether the target states that it did not and will not run the request.
    is_other_instance : bool
        Whether another instance than the expected one listens at the address.
    is_group_fault : bool
        Whether the target declines because another rank of its group has failed.
    load : LoadReport or None
        Load of the target.
    keep_alive_s : float or None
        Keep-alive time-out of the target, seconds.
    closes : bool
        Whether the connection closes after this answer.
    stated_limit : siskinthread.target_limits.StatedLimit
        Rate limit of the target.
    stated_backoff : siskinthread.target_limits.StatedBackoff
        Back-off that the target requests from this host.
    is_leaving : bool
        Whether the target announces that it leaves.
    cold_left_s : float or None
        Remaining time for which the target is cold after a start, seconds; None if not
        stated.
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
        "keep_alive_s",
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
        keep_alive_s,
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
        self.keep_alive_s = keep_alive_s
        self.closes = closes
        self.stated_limit = stated_limit
        self.stated_backoff = stated_backoff
        self.is_leaving = is_leaving
        self.cold_left_s = cold_left_s
