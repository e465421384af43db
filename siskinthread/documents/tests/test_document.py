"""Tests of documents: syntax errors, repeated keys, places."""

import json

import pyjson5
import pytest
from hypothesis import given, settings, strategies

from siskinthread.documents import load_document, one_line, Place, read_document
from siskinthread.errors import DocumentError

SOURCE = "file.json"


def problems_of(text):
    with pytest.raises(DocumentError) as caught:
        load_document(text, SOURCE)
    return [str(problem) for problem in caught.value.problems]


def test_comments_and_trailing_commas_are_read():
    """Comments, trailing commas and unquoted keys are accepted."""
    text = '// one\n{"a": [1, 2,], /* two */ b: {"c": null,},}'
    assert load_document(text, SOURCE).value == {"a": [1, 2], "b": {"c": None}}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "1:1: no JSON data found"),
        ("/* x", "1:1: unclosed comment"),
        ('{"a":\n  "x', "2:3: unclosed string"),
        ('{"a": 1\n "b": 2}', "2:2: expected ',' or '}', found '\"'"),
        ('{"é😀": 1 "b": 2}', "1:10: expected ',' or '}', found '\"'"),
        ('{"a" 1}', "1:6: expected ':', found '1'"),
        ('{"a":}', "1:6: expected a value, found '}'"),
        ("[1]\n\n ]", "3:2: extra data ']'"),
        ("[1e999]", "1:2: unreadable number"),
        ("[" * 1000, "1:33: maximum nesting level exceeded"),
    ],
)
def test_syntax_error_is_reported_at_its_place(text, expected):
    """A syntax error is reported once, with its line and column."""
    assert problems_of(text) == [f"{SOURCE}:{expected}"]


def test_every_repeated_key_is_reported():
    """Repeated keys are reported at any depth and in any notation.

    Guards against a setting that an operator sees in a file but that is not in force:
    the JSON5 library doesn't check for repeated keys and silently keeps the last value.
    """
    text = '{"a": 1,\n "a": {b: 1, "\\u0062": 2},\n "c": [{\'x\': 1, x: 2, x: 3}]}'
    assert problems_of(text) == [
        f'{SOURCE}:2:2: repeated key "a", first at 1:2',
        f'{SOURCE}:2:14: repeated key "b", first at 2:8',
        f'{SOURCE}:3:17: repeated key "x", first at 3:9',
        f'{SOURCE}:3:23: repeated key "x", first at 3:17',
    ]


@pytest.mark.parametrize(
    "text",
    [
        '{"a": 1, "a": 2, "b" 3, "b": 4}',
        '{"a": 1, "a": 2, "b": "x',
        '{"a": 1, "a": 2, "b": [1,',
    ],
)
def test_repeated_keys_are_reported_beside_a_syntax_error(text):
    """A syntax error does not hide the repeated keys before it."""
    repeated, syntax = problems_of(text)
    assert repeated == f'{SOURCE}:1:10: repeated key "a", first at 1:2'
    assert syntax.startswith(f"{SOURCE}:1:")


def test_repeated_keys_are_found_in_an_object_without_its_end():
    """An unclosed object is reported at its start and indexed to the text's end."""
    assert problems_of('{"a": 1, "a": 2, "b": [1]') == [
        f"{SOURCE}:1:1: unclosed object",
        f'{SOURCE}:1:10: repeated key "a", first at 1:2',
    ]


def test_marks_in_strings_and_comments_are_no_structure():
    """Brackets, colons and quotes in strings and comments don't affect places."""
    text = '{ // {"z": [\n "k:{": "}],\\"", /* "z": { */ "y": [ {}, "//" ] }'
    document = load_document(text, SOURCE)
    assert document.value == {"k:{": '}],"', "y": [{}, "//"]}
    assert document.key_place(("k:{",)) == Place(2, 2)
    assert document.place(("y", 1)) == Place(2, 42)


def test_place_of_an_absent_path_is_that_of_the_object_around_it():
    """A missing key is reported at the object that lacks it."""
    document = load_document('{"a": {"b": [1]}}', SOURCE)
    assert document.place(("a", "missing", "deep")) == Place(1, 7)
    assert document.place(("a", "b", 7)) == Place(1, 13)
    assert document.key_place(("missing",)) == Place(1, 1)


def test_problem_stays_on_one_line():
    """Line breaks and control characters in a key can't forge a second message."""
    (problem,) = problems_of('{"a\\nf:1:1: x\\u001b": 1, "a\\nf:1:1: x\\u001b": 2}')
    assert problem.splitlines() == [problem]
    assert one_line("a\r\n\u2028\x1b\x85é") == "a\\r\\n\\u2028\\x1b\\x85é"


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=20,
)


def paths_of(value, path=()):
    yield path, value
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from paths_of(inner, (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from paths_of(inner, (*path, index))


@settings(derandomize=True, deadline=None, max_examples=80)
@given(VALUES, strategies.booleans(), strategies.sampled_from([None, 1, 2]))
def test_each_place_holds_the_value_of_its_path(value, ascii_only, indent):
    """Parsing the text from a value's place on gives that value."""
    text = json.dumps(value, ensure_ascii=ascii_only, indent=indent)
    document = load_document(text, SOURCE)
    lines = text.split("\n")
    assert document.value == value
    for path, inner in paths_of(value):
        place = document.place(path)
        rest = "\n".join(
            [lines[place.line - 1][place.column - 1 :]] + lines[place.line :]
        )
        assert json.JSONDecoder().raw_decode(rest)[0] == inner


@settings(derandomize=True, deadline=None, max_examples=300)
@given(strategies.text(alphabet="{}[]:,\"'\\/*\n\r a1u0é\u2028", max_size=25))
def test_no_text_breaks_the_reader(text):
    """Any text gives either the value that the library parses or a problem."""
    document = read_document(text, SOURCE)
    try:
        expected = pyjson5.decode(text)
    except pyjson5.Json5DecoderException:
        assert document.value is None
        assert document.problems
    else:
        assert document.value == expected


class Pairs(list):
    """An object as a list of pairs, in which a key can be repeated."""


NESTED_PAIRS = strategies.recursive(
    strategies.integers(0, 9),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.lists(
            strategies.tuples(strategies.sampled_from("abc"), inner), max_size=4
        ).map(Pairs)
    ),
    max_leaves=15,
)
KEY_FORMS = ("{}", '"{}"', "'{}'", "/* {{ */ {}", '"\\u{:04x}"', '// "\n{}')


def serialized(value, forms):
    """Serialize a value, with each key in a random notation."""
    if isinstance(value, Pairs):
        pairs = [f"{key_form(key, forms)}: {serialized(v, forms)}," for key, v in value]
        return "{" + "".join(pairs) + "}"
    if isinstance(value, list):
        return "[" + ",".join(serialized(element, forms) for element in value) + "]"
    return str(value)


def key_form(key, forms):
    form = forms.choice(KEY_FORMS)
    return form.format(ord(key) if "04x" in form else key)


def count_repeated_keys(value):
    """Count the repeated keys of all objects without using offsets."""
    if isinstance(value, Pairs):
        keys = [key for key, _ in value]
        own = len(keys) - len(set(keys))
        return own + sum(count_repeated_keys(inner) for _, inner in value)
    if isinstance(value, list):
        return sum(count_repeated_keys(element) for element in value)
    return 0


@settings(derandomize=True, deadline=None, max_examples=200)
@given(NESTED_PAIRS, strategies.randoms(use_true_random=False))
def test_repeated_keys_are_those_that_a_naive_count_finds(value, forms):
    """The number of repeated keys equals a naive count, in any notation of the keys."""
    document = read_document(serialized(value, forms), SOURCE)
    assert len(document.problems) == count_repeated_keys(value)
