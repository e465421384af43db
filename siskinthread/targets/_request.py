"""Requests of an agent to its target."""


class TargetRequest:
    """One request to the target.

    Parameters
    ----------
    request_id : str
        Id that the target gets in ``X-Request-Id``.
    account : str
        Name of the client account.
    priority : int
        0 is the most urgent.
    idempotent : bool
        Whether the request may be repeated.
    idempotency_key : str or None
        The caller's key, passed on to plain services.
    method, path : str
        Request line.
    headers : list of tuple of str
        Pairs of name and value.
    body : bytes
        The whole body.
    """

    __slots__ = (
        "account",
        "body",
        "headers",
        "idempotency_key",
        "idempotent",
        "method",
        "path",
        "priority",
        "request_id",
    )

    def __init__(
        self,
        request_id,
        account,
        priority,
        idempotent,
        idempotency_key,
        method,
        path,
        headers,
        body,
    ):
        self.request_id = request_id
        self.account = account
        self.priority = priority
        self.idempotent = idempotent
        self.idempotency_key = idempotency_key
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
