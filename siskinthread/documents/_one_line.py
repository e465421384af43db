"""Escaping of untrusted text for single-line output."""

_CONTROL_CHARACTERS = [*range(0x20), *range(0x7F, 0xA0), 0x2028, 0x2029]
_ESCAPES = {code: ascii(chr(code))[1:-1] for code in _CONTROL_CHARACTERS}


def one_line(text):
    """Return a text with its line breaks and control characters escaped.

    Otherwise, a line break in an untrusted key, header or response could forge an entry
    in a log or a list of problems.

    Parameters
    ----------
    text : str

    Returns
    -------
    str
    """
    return text.translate(_ESCAPES)
