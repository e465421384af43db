"""Result of evaluating one request against the candidate targets."""


class Admission:
    """The targets that admit a request, and the bounds on their load.

    Parameters
    ----------
    request : GatewayRequest
        The request.
    candidates : list of TargetEntry
        The targets that could serve it.

    Attributes
    ----------
    usable : list of TargetEntry
        The candidates that would serve the request in time if they had a free slot.
    admitting : list of TargetEntry
        The usable targets to which this host may add the request now. If a bound admits
        none, the list from before that bound, so that the refusal can name the best of
        them.
    cause : BindingCause or None
        Why no target admits the request.
    max_load : float
        Exclusive upper bound on the requests per slot of the chosen target.
    max_mean_load : float
        The same for the mean over all targets.
    reserved_share : float
        Fraction of the slots that is reserved for more urgent requests.
    is_surging : bool
        Whether the client account uses several times its usual load.
    """

    __slots__ = (
        "admitting",
        "candidates",
        "cause",
        "is_surging",
        "max_mean_load",
        "max_load",
        "request",
        "reserved_share",
        "usable",
    )

    def __init__(self, request, candidates):
        self.request = request
        self.candidates = candidates
        self.usable = candidates
        self.admitting = candidates
        self.cause = None
        self.max_load = 1.0
        self.max_mean_load = 1.0
        self.reserved_share = 0.0
        self.is_surging = False

    def keep_usable(self, entries, cause):
        """Keep only targets that would serve the request in time.

        Parameters
        ----------
        entries : list of TargetEntry
            The usable targets that would.
        cause : BindingCause
            Why the other targets would not.
        """
        if self.cause is not None:
            return
        if entries:
            self.usable = self.admitting = entries
        else:
            self.cause = cause

    def keep_admitting(self, entries, cause):
        """Keep only targets to which this host may add the request now."""
        if self.cause is not None:
            return
        if entries:
            self.admitting = entries
        else:
            self.cause = cause
