"""Where each key and value of a document stands.

The library that reads the values neither reports their places nor repeated keys: of
two equal keys it silently keeps the last one.  A setting that stands twice would then
have another value than the operator sees at its first place.  The index walks over the
tokens once, which finds every repeated key.
"""

import re

# A token is a comment, a string, a mark or a run of other characters.  An end that is
# missing is not checked here: the library refuses such a text.
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
    """A key that stands more than once in the same object.

    Parameters
    ----------
    key : str
    offset, first_offset : int
        Index of the repeated key and of the first equal one, in characters.
    """

    __slots__ = ("first_offset", "key", "offset")

    def __init__(self, key, offset, first_offset):
        self.key = key
        self.offset = offset
        self.first_offset = first_offset


class _Node:
    """An object or a list: where it begins, and its children by key or index."""

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
        Index of the first character that is not looked at; a broken text is indexed
        up to its syntax error.
    """

    __slots__ = ("_root", "repeated_keys")

    def __init__(self, text, end=None):
        self.repeated_keys = []
        self._root = _Node(0, is_object=False)
        self._scan(text, len(text) if end is None else end)

    def value_offset(self, path):
        """Return the index of a value's first character.

        Parameters
        ----------
        path : tuple of str or int
            Keys and indices from the outermost value on.

        Returns
        -------
        int
            For a path that does not exist, the offset of the nearest value around it.
        """
        found = self._root
        for part in (0, *path):
            if not isinstance(found, _Node) or part not in found.children:
                break
            found = found.children[part]
        return found.offset if isinstance(found, _Node) else found

    def key_offset(self, path):
        """Return the index of the key that leads to a value.

        For an element of a list, or a path that does not exist, this is the
        `value_offset`.
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
                _attach(node, key, child)
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
                self._note_key(node, key, match.start())
            else:
                _attach(node, key, match.start())

    def _note_key(self, node, key, offset):
        first_offset = node.key_offsets.get(key)
        if first_offset is not None:
            self.repeated_keys.append(RepeatedKey(key, offset, first_offset))
        node.key_offsets[key] = offset


def _attach(node, key, child):
    if node.key_offsets is None:
        key = len(node.children)
    node.children[key] = child


def _decode_key(token):
    if "\\" in token:
        import pyjson5  # Not at the top: see read_document.

        (key,) = pyjson5.decode(f"{{{token}:0}}")
        return key
    if token[0] in "\"'":
        return token[1:-1]
    return token
