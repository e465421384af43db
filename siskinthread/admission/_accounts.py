"""Token buckets of the client accounts."""

from siskinthread.admission._bucket import TokenBucket


class AccountBuckets:
    """Buckets for the requests and tokens of an account at this entry host.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock for the refill.
    limits : siskinthread.configuration.Limits
        Limits of the account over all entry hosts.
    fraction : float
        This entry host's share of the limits, from 0 to 1.
    """

    __slots__ = ("_requests", "_tokens")

    def __init__(self, clock, limits, fraction):
        self._requests = TokenBucket(clock, *_request_rate_and_burst(limits, fraction))
        self._tokens = TokenBucket(clock, *_token_rate_and_burst(limits, fraction))

    def resize(self, limits, fraction):
        """Apply changed limits or a changed share."""
        self._requests.resize(*_request_rate_and_burst(limits, fraction))
        self._tokens.resize(*_token_rate_and_burst(limits, fraction))

    def wait_s(self, token_count):
        """Return the time until a request can be admitted, seconds.

        Parameters
        ----------
        token_count : float
            Estimated tokens of the request.

        Returns
        -------
        float
            0.0 if the request can be admitted now.
        """
        return max(self._requests.wait_s(1.0), self._tokens.wait_s(token_count))

    def take(self, token_count):
        """Charge one request and its estimated number of tokens."""
        self._requests.take(1.0)
        self._tokens.take(token_count)

    def correct(self, estimated_count, token_count):
        """Replace the estimated by the actual number of tokens."""
        self._tokens.refund(estimated_count - token_count)


def _request_rate_and_burst(limits, fraction):
    rate_per_s = limits.requests_per_s * fraction
    return rate_per_s, rate_per_s * limits.burst_s


def _token_rate_and_burst(limits, fraction):
    rate_per_s = limits.tokens_per_s * fraction
    return rate_per_s, rate_per_s * limits.burst_s
