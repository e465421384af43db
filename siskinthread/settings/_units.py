"""Units given by the suffixes of setting names."""

# Longer suffixes come before their own endings: `_bytes_per_s` also ends with `_s`.
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
    """Return the unit given by the suffix of a setting's name.

    Parameters
    ----------
    name : str

    Returns
    -------
    str or None
        None for a name without a unit suffix.
    """
    for suffix, unit in _UNITS:
        if name.endswith(suffix):
            return unit
    return None
