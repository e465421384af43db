"""Suggestions for misspelt words."""

import difflib


def suggestion(word, known):
    """Return a hint at the known word that is closest to a misspelt one.

    Parameters
    ----------
    word : str
    known : iterable of str

    Returns
    -------
    str
        Text to append to a message; empty if no known word is close.
    """
    matches = difflib.get_close_matches(word, known, n=1)
    return f'; did you mean "{matches[0]}"?' if matches else ""
