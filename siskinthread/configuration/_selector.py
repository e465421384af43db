"""Label selectors such as ``zone in (a,b), tier!=spare``."""


class Selector:
    """A conjunction of requirements on labels; the empty text matches everything.

    Parameters
    ----------
    text : str
        Requirements joined by commas: ``key=value``, ``key!=value``,
        ``key in (a,b)``, ``key notin (a,b)``, ``key`` and ``!key``.

    Raises
    ------
    ValueError
        If the text can't be read; the message says where.
    """

    __slots__ = ("_requirements", "text")

    def __init__(self, text):
        raise NotImplementedError

    def matches(self, labels):
        """Return whether a dict of labels meets every requirement."""
        raise NotImplementedError
