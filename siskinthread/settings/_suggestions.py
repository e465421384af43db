"""Suggestions for misspelt names."""

import difflib


def suggestion(word, known):
    """Return a hint that names the known word closest to a misspelt word.

    Parameters
    ----------
    word : str
    known : iterable of str

    Returns
    -------
    str
        Text to append to an error message; empty if no known word is similar.
    """
    matches = difflib.get_close_matches(word, known, n=1)
    return f'; did you mean "{matches[0]}"?' if matches else ""
