"""Units that the suffixes of the names state."""

# The longest suffixes come first: `_bytes_per_s` ends with `_s` too.
_UNITS = (
    ("_bytes_per_s", "bytes per second"),
    ("_tokens_per_s", "tokens per second"),
    ("_requests_per_s", "requests per second"),
    ("_per_s", "per second"),
    ("_ms", "milliseconds"),
    ("_us", "microseconds"),
    ("_s", "seconds"),
    ("_bytes", "bytes"),
    ("_tokens", "tokens"),
    ("_fraction", "fraction of one"),
    ("_percent", "percent"),
)


def unit_of(name):
    """Return the unit that a setting's name states.

    Parameters
    ----------
    name : str

    Returns
    -------
    str or None
        None for a name without a suffix of a unit.
    """
    for suffix, unit in _UNITS:
        if name.endswith(suffix):
            return unit
    return None
