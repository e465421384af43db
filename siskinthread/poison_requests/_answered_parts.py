"""Which prompt parts have been answered in full."""

from collections import OrderedDict


class AnsweredParts:
    """Remembers the parts of requests that targets have answered in full.

    Parameters
    ----------
    settings : PoisonSettings
        How many parts are remembered.
    """

    __slots__ = ("_names", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._names = OrderedDict()

    def note(self, name):
        """Record that a request with a part was answered."""
        self._names[name] = True
        self._names.move_to_end(name)
        if len(self._names) > self._settings.answered_parts_limit:
            self._names.popitem(last=False)

    def knows(self, name):
        """Return whether a request with a part is known to have been answered."""
        return name in self._names
