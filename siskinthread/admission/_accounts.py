"""Token buckets of the client accounts."""

from siskinthread.admission._bucket import TokenBucket


class AccountBuckets:
    """Requests and tokens of one account at this entry host.

    Parameters
    ----------
    clock : siskinthread.timing.Clock
        Clock of the refill.
    limits : siskinthread.configuration.Limits
        The account's limits.
    fraction : float
        This entry host's part of them.
    """

    __slots__ = ("_requests", "_tokens")

    def __init__(self, clock, limits, fraction):
        self._requests = TokenBucket(clock, *_request_size(limits, fraction))
        self._tokens = TokenBucket(clock, *_token_size(limits, fraction))

    def resize(self, limits, fraction):
        """Follow a change of the limits or of the part."""
        self._requests.resize(*_request_size(limits, fraction))
        self._tokens.resize(*_token_size(limits, fraction))

    def wait_s(self, token_count):
        """Return the seconds until a request of that cost can pass; 0.0 for now."""
        return max(self._requests.wait_s(1.0), self._tokens.wait_s(token_count))

    def take(self, token_count):
        """Charge one request and its estimated tokens."""
        self._requests.take(1.0)
        self._tokens.take(token_count)

    def correct(self, estimated_count, token_count):
        """Replace the estimate by the true number of tokens."""
        self._tokens.give_back(estimated_count - token_count)


def _request_size(limits, fraction):
    rate_per_s = limits.requests_per_s * fraction
    return rate_per_s, rate_per_s * limits.burst_s


def _token_size(limits, fraction):
    rate_per_s = limits.tokens_per_s * fraction
    return rate_per_s, rate_per_s * limits.burst_s
