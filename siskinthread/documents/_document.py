"""Parsing of text into a document."""

import re

from siskinthread.documents._index import PlaceIndex
from siskinthread.documents._places import LineTable, Problem
from siskinthread.errors import DocumentError

# Documents with deeper nesting are rejected, so that recursive code that processes a
# value can't exhaust the interpreter's stack.
_DEPTH_LIMIT = 32

_OFFSET = re.compile(r"\s*(?:starting )?near (\d+)")
_CHARACTER = re.compile(r"U\+([0-9a-fA-F]{4,6})")
_NAME = re.compile(r"b'(\w+)'")
_UNCLOSED_MESSAGES = ("unclosed object", "unclosed array")
_NAMES = {"comma": "','", "colon": "':'", "JSON5Value": "a value"}


class Document:
    """A parsed value and the positions of its parts in the text.

    Parameters
    ----------
    source_name : str
        Name of the file.
    value : object
        Plain dicts, lists, strings, numbers, booleans and None; also None if the text
        has a syntax error.
    index : PlaceIndex
    lines : LineTable
    problems : list of Problem
        Syntax errors and repeated keys, in order of position.
    """

    __slots__ = ("_index", "_lines", "problems", "source_name", "value")

    def __init__(self, source_name, value, index, lines, problems):
        self._lines = lines
        self._index = index
        self.source_name = source_name
        self.value = value
        self.problems = problems

    def place(self, path=()):
        """Return the position of the first character of a value.

        Parameters
        ----------
        path : tuple of str or int
            Keys and indices that lead from the outermost value to the value.

        Returns
        -------
        Place
            If the path does not exist, the position of the innermost existing value on
            it, so that a missing key is reported at the object that lacks it.
        """
        return self._lines.place(self._index.value_offset(path))

    def key_place(self, path):
        """Return the position of the key of a value.

        Parameters
        ----------
        path : tuple of str or int
            Keys and indices that lead from the outermost value to the value.

        Returns
        -------
        Place
            For an element of a list, the position of the element itself.
        """
        return self._lines.place(self._index.key_offset(path))


def load_document(text, source_name):
    """Parse JSON with comments.

    Parameters
    ----------
    text : str
        JSON5: JSON with comments, trailing commas and keys without quotes.
    source_name : str
        Name of the file, for error messages.

    Returns
    -------
    Document

    Raises
    ------
    DocumentError
        Lists every repeated key and the first syntax error.
    """
    document = read_document(text, source_name)
    if document.problems:
        raise DocumentError(document.problems)
    return document


def read_document(text, source_name):
    """Parse JSON with comments and collect its problems instead of raising them.

    Parameters
    ----------
    text, source_name : str
        As for `load_document`.

    Returns
    -------
    Document
        If the text has a syntax error, the value is None and only repeated keys before
        the error are reported.  An unclosed object or list, however, is searched for
        repeated keys up to the end of the text.
    """
    # Imported here: a daemon that reads no such document saves 3.7 MB of peak resident
    # memory.
    import pyjson5

    lines = LineTable(text)
    try:
        value = pyjson5.decode(text, _DEPTH_LIMIT)
    except pyjson5.Json5DecoderException as error:
        offset, message = _describe_error(text, error)
        index = PlaceIndex(text, _index_end(text, offset, message))
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


def _index_end(text, offset, message):
    # An unclosed object or list is reported at its opening bracket; the text after the
    # bracket can be indexed.
    is_unclosed = message.startswith(_UNCLOSED_MESSAGES)
    return len(text) if is_unclosed else offset


def _describe_error(text, error):
    """Return the offset of a parser error and a readable message."""
    report = error.args[0]
    found = _OFFSET.search(report)
    offset = _error_offset(text, error, int(found.group(1))) if found else 0
    message = _OFFSET.sub("", report)
    message = _CHARACTER.sub(lambda match: repr(chr(int(match.group(1), 16))), message)
    message = _NAME.sub(lambda match: _NAMES.get(match.group(1), match[1]), message)
    message = f"{message[0].lower()}{message[1:]}"
    return offset, message.replace("unclosed NumericLiteral", "unreadable number")


def _error_offset(text, error, count):
    if type(error).__name__ == "Json5ExtraData":
        # For extra data, the library reports the offset after the value; spaces may
        # precede the extra data.
        rest = text[count:]
        return count + len(rest) - len(rest.lstrip())
    # For other errors, the library reports the offset after the invalid character, and
    # for an unclosed comment the offset after the two characters that open it.
    is_comment = error.args[0].startswith("Unclosed b'comment'")
    return min(max(count - (2 if is_comment else 1), 0), len(text))
