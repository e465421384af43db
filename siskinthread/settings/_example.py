"""Rendering of commented example settings files."""

import functools
import json
import textwrap

from siskinthread.settings._items import default_value, REQUIRED
from siskinthread.settings._kinds import (
    Address,
    AddressList,
    Choice,
    Key,
    KeyList,
    StringList,
)
from siskinthread.settings._units import unit_of

_INDENT = "    "
_LINE_LIMIT = 88

_KIND_NAMES = {
    bool: "boolean",
    int: "whole number",
    float: "number",
    str: "string",
    Address: 'address "IP number:port"',
    AddressList: 'list of addresses "IP number:port"',
    Key: "key",
    KeyList: "list of keys",
    StringList: "list of strings",
}
_EXAMPLE_KEY = {"id": "key-1", "secret": "replace this by a long random text"}
_EXAMPLES = {
    bool: False,
    str: "text",
    Address: "127.0.0.1:8080",
    AddressList: ["127.0.0.1:8080"],
    Key: _EXAMPLE_KEY,
    KeyList: [_EXAMPLE_KEY],
    StringList: ["text"],
}


def render_example(section_class):
    """Return a commented settings file that `load_section` accepts.

    Parameters
    ----------
    section_class : type
        A `Section`.

    Returns
    -------
    str
        JSON with comments.  Each setting is preceded by its description, type, unit,
        default and minimum; required settings have an example value.
    """
    return "\n".join(_section_lines(section_class, 0)) + "\n"


def _section_lines(section_class, depth):
    lines = ["{"]
    for item in section_class.items():
        lines += _item_lines(item, depth + 1)
    lines.append(_INDENT * depth + "}")
    return lines


def _item_lines(item, depth):
    indent = _INDENT * depth
    lines = _comment_lines(item, indent)
    if item.is_section and (item.required or item.default is not None):
        first, *rest = _section_lines(item.kind, depth)
        lines += [f'{indent}"{item.name}": {first}', *rest]
    else:
        value = json.dumps(_example_value(item), ensure_ascii=False)
        lines.append(f'{indent}"{item.name}": {value}')
    lines[-1] += ","
    return lines


def _comment_lines(item, indent):
    paragraphs = [item.description, _type_summary(item)]
    lines = []
    for paragraph in filter(None, paragraphs):
        lines += textwrap.wrap(
            paragraph,
            width=_LINE_LIMIT,
            initial_indent=f"{indent}// ",
            subsequent_indent=f"{indent}// ",
            break_long_words=False,
            break_on_hyphens=False,
        )
    return lines


def _type_summary(item):
    if item.is_section:
        return "Section, required." if default_value(item) is REQUIRED else "Section."
    facts = [_kind_name(item.kind)]
    unit = unit_of(item.name)
    if unit:
        facts.append(f"unit: {unit}")
    if item.required:
        facts.append("required")
    else:
        default = json.dumps(_to_json(item.default), ensure_ascii=False)
        facts.append(f"default: {default}")
    if item.minimum is not None:
        facts.append(f"minimum: {item.minimum}")
    return "Type: " + "; ".join(facts) + "."


def _kind_name(kind):
    if isinstance(kind, Choice):
        return "one of " + ", ".join(f'"{word}"' for word in kind.options)
    return _KIND_NAMES[kind]


def _example_value(item):
    if item.example is not None:
        return item.example
    if not item.required:
        return _to_json(item.default)
    if isinstance(item.kind, Choice):
        return item.kind.options[0]
    if item.kind in (int, float):
        return item.minimum if item.minimum is not None else 1
    return _EXAMPLES[item.kind]


@functools.singledispatch
def _to_json(value):
    """Return the JSON form of a setting's value."""
    return value


@_to_json.register
def _(value: Address):
    return str(value)


@_to_json.register
def _(value: Key):
    return {"id": value.id, "secret": value.secret}


@_to_json.register(list)
@_to_json.register(tuple)
def _(value):
    return [_to_json(element) for element in value]
