"""From text to a document."""

import re

from siskinthread.documents._index import PlaceIndex
from siskinthread.documents._places import LineTable, Problem
from siskinthread.errors import DocumentError

# Deeper documents are refused, so that code that walks over a value can't exhaust the
# interpreter's stack.
_DEPTH_LIMIT = 32

_OFFSET = re.compile(r"\s*(?:starting )?near (\d+)")
_CHARACTER = re.compile(r"U\+([0-9a-fA-F]{4,6})")
_NAME = re.compile(r"b'(\w+)'")
_UNCLOSED_MESSAGES = ("unclosed object", "unclosed array")
_NAMES = {"comma": "','", "colon": "':'", "JSON5Value": "a value"}


class Document:
    """A value and where its parts stand in the text.

    Parameters
    ----------
    source_name : str
    value : object
        Plain dicts, lists, strings, numbers, booleans and None; None too where the
        syntax is broken.
    index : PlaceIndex
    lines : LineTable
    problems : list of Problem
        Syntax errors and repeated keys in the order of the text.
    """

    __slots__ = ("_index", "_lines", "problems", "source_name", "value")

    def __init__(self, source_name, value, index, lines, problems):
        self._lines = lines
        self._index = index
        self.source_name = source_name
        self.value = value
        self.problems = problems

    def place(self, path=()):
        """Return where a value begins.

        Parameters
        ----------
        path : tuple of str or int
            Keys and indices from the outermost value on.

        Returns
        -------
        Place
            For a path that does not exist, the place of the nearest value around it,
            so that a missing key is reported at the object that lacks it.
        """
        return self._lines.place(self._index.value_offset(path))

    def key_place(self, path):
        """Return where the key that leads to a value begins.

        Parameters
        ----------
        path : tuple of str or int

        Returns
        -------
        Place
            For an element of a list, the place of the value.
        """
        return self._lines.place(self._index.key_offset(path))


def load_document(text, source_name):
    """Read JSON with comments.

    Parameters
    ----------
    text : str
        JSON5: JSON with comments, trailing commas and keys without quotes.
    source_name : str
        Name of the file, for messages.

    Returns
    -------
    Document

    Raises
    ------
    DocumentError
        With every repeated key and the first syntax error.
    """
    document = read_document(text, source_name)
    if document.problems:
        raise DocumentError(document.problems)
    return document


def read_document(text, source_name):
    """Read JSON with comments and keep its problems instead of raising them.

    Parameters
    ----------
    text, source_name : str

    Returns
    -------
    Document
        If the syntax is broken its value is None and the repeated keys are those
        before the error.
    """
    # Imported here: a daemon that reads no such document saves 3.7 MB (peak resident
    # size of the interpreter with and without the import).
    import pyjson5

    lines = LineTable(text)
    try:
        value = pyjson5.decode(text, _DEPTH_LIMIT)
    except pyjson5.Json5DecoderException as error:
        offset, message = _explain(text, error)
        index = PlaceIndex(text, _readable_end(text, offset, message))
        problems = _repeated_key_problems(source_name, index, lines)
        problems.append(Problem(source_name, lines.place(offset), message))
        problems.sort(key=lambda problem: problem.place)
        return Document(source_name, None, index, lines, problems)
    index = PlaceIndex(text)
    problems = _repeated_key_problems(source_name, index, lines)
    return Document(source_name, value, index, lines, problems)


def _repeated_key_problems(source_name, index, lines):
    problems = []
    for repeated in index.repeated_keys:
        first = lines.place(repeated.first_offset)
        message = f'repeated key "{repeated.key}", first at {first}'
        problems.append(Problem(source_name, lines.place(repeated.offset), message))
    return problems


def _readable_end(text, offset, message):
    # An object or list without its end is reported where it begins; all that follows
    # can be read.
    is_unclosed = message.startswith(_UNCLOSED_MESSAGES)
    return len(text) if is_unclosed else offset


def _explain(text, error):
    """Return the offset and a readable message of the library's error."""
    report = error.args[0]
    found = _OFFSET.search(report)
    offset = _offset(text, error, int(found.group(1))) if found else 0
    message = _OFFSET.sub("", report)
    message = _CHARACTER.sub(lambda match: repr(chr(int(match.group(1), 16))), message)
    message = _NAME.sub(lambda match: _NAMES.get(match.group(1), match[1]), message)
    message = f"{message[0].lower()}{message[1:]}"
    return offset, message.replace("unclosed NumericLiteral", "unreadable number")


def _offset(text, error, count):
    if type(error).__name__ == "Json5ExtraData":
        # Here the library counts the characters before the data, without spaces.
        rest = text[count:]
        return count + len(rest) - len(rest.lstrip())
    # Elsewhere it counts the character at fault too, and of the two characters that
    # open a comment the second one.
    is_comment = error.args[0].startswith("Unclosed b'comment'")
    return min(max(count - (2 if is_comment else 1), 0), len(text))
