"""The request that the HTTP front end passes to the dispatcher."""


class CallerRequest:
    """An authenticated request of a caller.

    Parameters
    ----------
    request_id : str
        Unique id. For a request with an idempotency key it is derived from account,
        service and key, so that a retry through another entry host has the same id.
    account : siskinthread.configuration.Account
        The client account.
    service : siskinthread.configuration.Service
        The requested service.
    method, path : str
        Method and path of the request line that is sent to the target.
    headers : list of tuple of str
        Pairs of lower-case name and value, without hop-by-hop headers
        and bearer keys.
    body : bytes
        Complete body.
    idempotent : bool
        Whether the request may be repeated.
    idempotency_key : str or None
        The caller's key.
    issued_at_ms : int or None
        Lower bound of the time at which the key was first issued, Unix milliseconds.
    deadline : siskinthread.timing.Deadline
        When the caller stops waiting.
    priority : int
        Priority class; 0 is the most urgent.
    token_estimate : int
        Estimated tokens of the answer, for rate limits; 0 for plain services.
    prefix_key : str or None
        Digest of the start of the prompt, for prefix-cache affinity.
    """

    __slots__ = (
        "account",
        "body",
        "deadline",
        "headers",
        "idempotency_key",
        "idempotent",
        "issued_at_ms",
        "method",
        "path",
        "prefix_key",
        "priority",
        "request_id",
        "service",
        "token_estimate",
    )

    def __init__(
        self,
        request_id,
        account,
        service,
        method,
        path,
        headers,
        body,
        idempotent,
        deadline,
        priority,
        idempotency_key=None,
        issued_at_ms=None,
        token_estimate=0,
        prefix_key=None,
    ):
        self.request_id = request_id
        self.account = account
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.idempotent = idempotent
        self.deadline = deadline
        self.priority = priority
        self.idempotency_key = idempotency_key
        self.issued_at_ms = issued_at_ms
        self.token_estimate = token_estimate
        self.prefix_key = prefix_key
