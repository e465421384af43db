"""Reading of files that are named on the command line."""

import pathlib

from siskinthread.documents import Place, Problem
from siskinthread.errors import DocumentError

_FIRST_PLACE = Place(1, 1)


def read_text(file_name):
    """Read a text file.

    Parameters
    ----------
    file_name : str
        Path of the file.

    Returns
    -------
    str
        Text of the file.

    Raises
    ------
    DocumentError
        If the file can't be read or is not encoded in UTF-8.
    """
    try:
        content = pathlib.Path(file_name).read_bytes()
    except OSError as error:
        raise _error(file_name, _FIRST_PLACE, f"can't read: {error.strerror}") from None
    except ValueError as error:
        raise _error(file_name, _FIRST_PLACE, f"can't read: {error}") from None
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        place = _place_of_byte(content, error.start)
        raise _error(file_name, place, "not in UTF-8") from None


def _place_of_byte(content, position):
    lines = content[:position].decode("utf-8").split("\n")
    return Place(len(lines), len(lines[-1]) + 1)


def _error(file_name, place, message):
    return DocumentError([Problem(file_name, place, message)])
