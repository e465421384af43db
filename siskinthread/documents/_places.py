"""Positions in a text, and problems reported at them."""

import bisect
import functools
import re

from siskinthread.documents._one_line import one_line

# The line terminators of JSON5.
_LINE_END = re.compile("\r\n|[\n\r\u2028\u2029]")


@functools.total_ordering
class Place:
    """A position in a text.

    Parameters
    ----------
    line : int
        Line number, starting at 1.
    column : int
        Column in characters, starting at 1.
    """

    __slots__ = ("column", "line")

    def __init__(self, line, column):
        self.line = line
        self.column = column

    def __eq__(self, other):
        if not isinstance(other, Place):
            return NotImplemented
        return (self.line, self.column) == (other.line, other.column)

    def __lt__(self, other):
        return (self.line, self.column) < (other.line, other.column)

    def __hash__(self):
        return hash((self.line, self.column))

    def __str__(self):
        return f"{self.line}:{self.column}"

    def __repr__(self):
        return f"Place({self.line}, {self.column})"


class LineTable:
    """Converts offsets in a text to places.

    The line starts are computed when the first place is requested, because most
    documents have no problem to report.

    Parameters
    ----------
    text : str
    """

    __slots__ = ("_line_starts", "_text")

    def __init__(self, text):
        self._text = text
        self._line_starts = None

    def place(self, offset):
        """Return the place of a character.

        Parameters
        ----------
        offset : int
            Offset of the character in the text, starting at 0.

        Returns
        -------
        Place
        """
        if self._line_starts is None:
            ends = [match.end() for match in _LINE_END.finditer(self._text)]
            self._line_starts = [0, *ends]
        line = bisect.bisect_right(self._line_starts, offset)
        return Place(line, offset - self._line_starts[line - 1] + 1)


class Problem:
    """A problem found in a document.

    Parameters
    ----------
    source_name : str
        Name of the file.
    place : Place
    message : str
        Description of the problem; line breaks in it are escaped.
    """

    __slots__ = ("message", "place", "source_name")

    def __init__(self, source_name, place, message):
        self.source_name = source_name
        self.place = place
        self.message = one_line(message)

    def __str__(self):
        return f"{one_line(self.source_name)}:{self.place}: {self.message}"

    def __repr__(self):
        return f"Problem({str(self)!r})"
