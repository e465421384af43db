"""Exchange of evacuated failure domains between hosts."""

from siskinthread.source_eras import Position

MILLISECONDS_PER_SECOND = 1000


class EvacuationStatement:
    """Evacuated failure domains at a position of their source.

    Parameters
    ----------
    position : siskinthread.source_eras.Position
        Position up to which the source was read.
    domains : frozenset of str
        Domains that the source lists as evacuated there.
    kept_s : dict of str to float
        Domains that stay evacuated although the source came back without them, and how
        long they have been kept, seconds.
    released_s : dict of str to float
        Domains whose evacuation was ended lately in the era of the position, and how
        long ago, seconds.
    """

    __slots__ = ("domains", "kept_s", "position", "released_s")

    def __init__(self, position, domains, kept_s=None, released_s=None):
        self.position = position
        self.domains = frozenset(domains)
        self.kept_s = {} if kept_s is None else kept_s
        self.released_s = {} if released_s is None else released_s

    def names(self):
        """Return the names of the listed, the kept and the released domains."""
        return self.domains, frozenset(self.kept_s), frozenset(self.released_s)

    def as_document(self):
        """Return the statement as JSON values."""
        document = {
            "at": [self.position.era, self.position.offset],
            "domains": sorted(self.domains),
        }
        if self.kept_s:
            document["kept_ms"] = _in_milliseconds(self.kept_s)
        if self.released_s:
            document["released_ms"] = _in_milliseconds(self.released_s)
        return document

    @classmethod
    def from_document(cls, document):
        """Return the statement of JSON values.

        Raises
        ------
        KeyError, TypeError, ValueError, AttributeError, OverflowError
            If the values are unreadable.
        """
        era, offset = document["at"]
        return cls(
            Position(None if era is None else int(era), int(offset)),
            frozenset(str(one) for one in document["domains"]),
            _in_seconds(document.get("kept_ms", {})),
            _in_seconds(document.get("released_ms", {})),
        )


def _in_milliseconds(ages_s):
    return {
        name: round(age_s * MILLISECONDS_PER_SECOND) for name, age_s in ages_s.items()
    }


def _in_seconds(ages_ms):
    return {
        str(name): max(0, int(age_ms)) / MILLISECONDS_PER_SECOND
        for name, age_ms in ages_ms.items()
    }
