"""Cost per request and per token, fitted to several levels of load."""

import numpy as np

MICROSECONDS_PER_SECOND = 1e6


class Slopes:
    """Processor time of a role as the sum of an idle, a request and a token part.

    Attributes
    ----------
    idle_core_share : float
        Share of a core without requests.
    request_us, token_us : float
        Processor time per request and per token, microseconds.
    largest_error_share : float
        Largest difference between a level and the fit, as a share of the level.
    """

    __slots__ = ("idle_core_share", "largest_error_share", "request_us", "token_us")

    def __init__(self, idle_core_share, request_us, token_us, largest_error_share):
        self.idle_core_share = idle_core_share
        self.request_us = request_us
        self.token_us = token_us
        self.largest_error_share = largest_error_share

    def as_dict(self):
        """Return the rounded slopes as a dict for JSON."""
        return {
            "idle_core_share": round(self.idle_core_share, 5),
            "request_us": round(self.request_us, 1),
            "token_us": round(self.token_us, 2),
            "largest_error_share": round(self.largest_error_share, 3),
        }


def fit_slopes(points, idle_core_share):
    """Return the `Slopes` of a least-squares fit with relative errors.

    Parameters
    ----------
    points : list of tuple of float
        Requests per second, tokens per second and core share of each level.  At least
        two levels must differ in tokens per request, as the fit can't separate the two
        costs otherwise.
    idle_core_share : float
        Share of a core without requests.
    """
    requests_per_s, tokens_per_s, shares = np.array(points, dtype=float).T
    rates = np.stack([requests_per_s, tokens_per_s], axis=1)
    # Relative errors, as the highest level would dominate a fit with absolute errors.
    scaled = rates / shares[:, np.newaxis]
    wanted = (shares - idle_core_share) / shares
    request_s, token_s = np.linalg.lstsq(scaled, wanted, rcond=None)[0]
    errors = scaled @ (request_s, token_s) - wanted
    return Slopes(
        idle_core_share,
        request_s * MICROSECONDS_PER_SECOND,
        token_s * MICROSECONDS_PER_SECOND,
        float(np.abs(errors).max()),
    )


def fit_memory(points):
    """Return the bytes of memory without streams, and per stream.

    Parameters
    ----------
    points : list of tuple of float
        Number of streams and resident bytes of each level.
    """
    streams, resident_bytes = np.array(points, dtype=float).T
    for_each, without = np.polyfit(streams, resident_bytes, 1)
    return float(without), float(for_each)
