"""Text of foreign origin on one line."""

_CONTROL_CHARACTERS = [*range(0x20), *range(0x7F, 0xA0), 0x2028, 0x2029]
_ESCAPES = {code: ascii(chr(code))[1:-1] for code in _CONTROL_CHARACTERS}


def one_line(text):
    """Return a text with its line ends and control characters escaped.

    Without this, a line end in a foreign key, header or answer could forge a message
    of its own in a log or a list of problems.

    Parameters
    ----------
    text : str

    Returns
    -------
    str
    """
    return text.translate(_ESCAPES)
