"""What the callers' side hands to the dispatcher."""


class CallerRequest:
    """One authenticated request of a caller.

    Parameters
    ----------
    request_id : str
        Unique; for a request with an idempotency key it is derived from account,
        service and key, so that a retry through another entry host has the same one.
    account : siskinthread.configuration.Account
        The client account.
    service : siskinthread.configuration.Service
        The service that is asked.
    method, path : str
        Request line as the target shall see it.
    headers : list of tuple of str
        Pairs of lower-case name and value, without hop-by-hop headers and keys.
    body : bytes
        The whole body.
    idempotent : bool
        Whether the request may be repeated.
    idempotency_key : str or None
        The caller's key.
    issued_at_ms : int or None
        Wall clock of the key's first issue, Unix milliseconds, never later than the
        truth.
    deadline : siskinthread.timing.Deadline
        When the caller stops waiting.
    priority : int
        0 is the most urgent.
    token_estimate : int
        Tokens that the answer may take, for limits; 0 for plain services.
    prefix_key : str or None
        Digest of the prompt's head, for prefix-cache affinity.
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
