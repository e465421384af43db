"""Index of the positions of keys and values in a document.

The JSON5 library reports neither positions nor repeated keys: of two equal keys, it
silently keeps the last.  If a setting occurred twice, its value could differ from the
one that the operator sees at the first occurrence.  The index scans the tokens once and
finds every repeated key.
"""

import re

# A token is a comment, a string, a punctuation character or a run of other characters.
# Unterminated strings and comments are not detected here: the library rejects them.
_TOKEN = re.compile(
    r"""//[^\n\r\u2028\u2029]*
    |/\*.*?\*/
    |"(?:[^"\\]|\\.)*"
    |'(?:[^'\\]|\\.)*'
    |[{}\[\],:]
    |[^\s{}\[\],:"'/\ufeff]+""",
    re.DOTALL | re.VERBOSE,
)


class RepeatedKey:
    """A key that occurs more than once in the same object.

    Parameters
    ----------
    key : str
    offset, first_offset : int
        Offsets of the repeated key and of the previous occurrence, in characters.
    """

    __slots__ = ("first_offset", "key", "offset")

    def __init__(self, key, offset, first_offset):
        self.key = key
        self.offset = offset
        self.first_offset = first_offset


class _Node:
    """An object or a list: its offset, and its children by key or index."""

    __slots__ = ("children", "key_offsets", "offset")

    def __init__(self, offset, is_object):
        self.offset = offset
        self.key_offsets = {} if is_object else None
        self.children = {}


class PlaceIndex:
    """Offsets of the keys and values of a text, and its repeated keys.

    Parameters
    ----------
    text : str
    end : int or None
        Offset at which the scan stops, for a text with a syntax error; None for the
        end of the text.
    """

    __slots__ = ("_root", "repeated_keys")

    def __init__(self, text, end=None):
        self.repeated_keys = []
        self._root = _Node(0, is_object=False)
        self._scan(text, len(text) if end is None else end)

    def value_offset(self, path):
        """Return the offset of the first character of a value.

        Parameters
        ----------
        path : tuple of str or int
            Keys and indices that lead from the outermost value to the value.

        Returns
        -------
        int
            If the path does not exist, the offset of the innermost existing value on
            it.
        """
        found = self._root
        for part in (0, *path):
            if not isinstance(found, _Node) or part not in found.children:
                break
            found = found.children[part]
        return found.offset if isinstance(found, _Node) else found

    def key_offset(self, path):
        """Return the offset of the key of a value.

        For an element of a list or a path that does not exist, return `value_offset`.
        """
        parent = self._root
        for part in (0, *path[:-1]):
            parent = parent.children.get(part)
            if not isinstance(parent, _Node):
                return self.value_offset(path)
        if path and parent.key_offsets and path[-1] in parent.key_offsets:
            return parent.key_offsets[path[-1]]
        return self.value_offset(path)

    def _scan(self, text, end):
        stack = [self._root]
        node = self._root
        key = None
        for match in _TOKEN.finditer(text, 0, end):
            token = match.group()
            first = token[0]
            if first in ":/":
                continue
            if first == ",":
                key = None
            elif first in "{[":
                child = _Node(match.start(), is_object=first == "{")
                _add_child(node, key, child)
                stack.append(child)
                node = child
                key = None
            elif first in "}]":
                if len(stack) == 1:
                    return
                stack.pop()
                node = stack[-1]
            elif key is None and node.key_offsets is not None:
                key = _decode_key(token)
                self._record_key(node, key, match.start())
            else:
                _add_child(node, key, match.start())

    def _record_key(self, node, key, offset):
        first_offset = node.key_offsets.get(key)
        if first_offset is not None:
            self.repeated_keys.append(RepeatedKey(key, offset, first_offset))
        node.key_offsets[key] = offset


def _add_child(node, key, child):
    if node.key_offsets is None:
        key = len(node.children)
    node.children[key] = child


def _decode_key(token):
    if "\\" in token:
        import pyjson5  # Imported late to save memory: see read_document.

        (key,) = pyjson5.decode(f"{{{token}:0}}")
        return key
    if token[0] in "\"'":
        return token[1:-1]
    return token
