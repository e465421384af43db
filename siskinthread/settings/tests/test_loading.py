"""Tests of loading: each kind of invalid input, and several problems at once."""

import pytest

from siskinthread.errors import SettingsError
from siskinthread.settings import (
    Address,
    AddressList,
    Choice,
    Item,
    Key,
    KeyList,
    load_section,
    Section,
    StringList,
)

SOURCE = "file.json"


class Inner(Section):
    wait_s = Item(float, default=1.0, minimum=0.5)
    name = Item(str)


class Spare(Section):
    size_bytes = Item(int, default=3)


class Outer(Section):
    listen = Item(Address)
    others = Item(AddressList, default=())
    labels = Item(StringList, default=(), minimum=0)
    keys = Item(KeyList, default=())
    level = Item(Choice("low", "high"), default="low")
    enabled = Item(bool, default=True)
    limit = Item(int, default=1, minimum=1)
    inner = Item(Inner)
    spare = Item(Spare)
    optional = Item(Address, default=None)


GOOD = '{"listen": "127.0.0.1:80", "inner": {"name": "x"}, %s}'


def problems_of(text, section_class=Outer):
    with pytest.raises(SettingsError) as caught:
        load_section(section_class, text, SOURCE)
    return str(caught.value).splitlines()


def problem_of_setting(text):
    (problem,) = problems_of(GOOD % text)
    return problem.partition(": ")[2]


def test_values_have_the_type_of_their_kind():
    """Values are converted to their kinds; omitted settings take their defaults."""
    loaded = load_section(
        Outer,
        '{"listen": "[::1]:80", "others": ["10.0.0.1:0"], "labels": ["a"],'
        '"keys": [{"id": "k", "secret": "s"}], "inner": {"name": "x", "wait_s": 2}}',
        SOURCE,
    )
    assert loaded.listen == Address("::1", 80)
    assert str(loaded.listen) == "[::1]:80"
    assert loaded.others == [Address("10.0.0.1", 0)]
    assert loaded.labels == ["a"]
    assert loaded.keys == [Key("k", "s")]
    assert (loaded.inner.wait_s, type(loaded.inner.wait_s)) == (2.0, float)
    assert loaded.spare.size_bytes == 3
    assert loaded.optional is None


def test_all_problems_are_reported_at_once_in_order():
    """All problems, repeated keys included, are reported in order of position."""
    text = """{
    "listne": "127.0.0.1:80",
    "others": ["10.0.0.1:1", "10.0.0.300:1"],
    "limit": 0,
    "limit": true,
    "inner": {"wait_s": 0.1},
    "keys": [{"id": "", "secrets": "hush"}],
}"""
    assert problems_of(text) == [
        f"{SOURCE}:1:1: listen: missing setting",
        f'{SOURCE}:2:5: listne: unknown setting; did you mean "listen"?',
        f'{SOURCE}:3:30: others[1]: bad IP number "10.0.0.300"',
        f'{SOURCE}:5:5: repeated key "limit", first at 4:5',
        f"{SOURCE}:5:14: limit: expected a whole number, found a boolean",
        f"{SOURCE}:6:14: inner.name: missing setting",
        f"{SOURCE}:6:25: inner.wait_s: under the minimum 0.5",
        f'{SOURCE}:7:14: keys[0]: missing "secret"',
        f"{SOURCE}:7:21: keys[0].id: expected a string that is not empty",
        f'{SOURCE}:7:25: keys[0].secrets: unknown setting; did you mean "secret"?',
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('"limit": 1.5', "limit: expected a whole number, found 1.5"),
        ('"limit": "1"', "limit: expected a whole number, found a string"),
        ('"limit": null', "limit: expected a whole number, found null"),
        ('"limit": 1' + "0" * 30, "limit: the number is too large"),
        ('"limit": -0x' + "f" * 9000, "limit: the number is too large"),
        ('"enabled": 1', "enabled: expected a boolean, found a number"),
        ('"level": "hgh"', 'level: expected one of "low", "high", found "hgh"; did you '
         'mean "high"?'),
        ('"level": ["low"]', 'level: expected one of "low", "high", found a list'),
        ('"labels": "a"', "labels: expected a list, found a string"),
        ('"labels": ["a", 1]', "labels[1]: expected a string, found a number"),
        ('"spare": []', "spare: expected an object, found a list"),
        ('"spare": {"size_byte": 1}',
         'spare.size_byte: unknown setting; did you mean "size_bytes"?'),
        ('"others": {}', "others: expected a list, found an object"),
        ('"others": [80]', 'others[0]: expected a string "IP number:port", found a '
         "number"),
        ('"optional": "localhost:80"', 'optional: bad IP number "localhost"'),
        ('"optional": "127.0.0.1"', 'optional: expected "IP number:port"'),
        ('"optional": "::1:80"', 'optional: bad IP number "::1"'),
        ('"optional": "[127.0.0.1]:80"', 'optional: bad IP number "127.0.0.1"'),
        ('"optional": "127.0.0.1:65536"',
         'optional: bad port "65536", expected 0 to 65535'),
        ('"optional": "127.0.0.1:"', 'optional: bad port "", expected 0 to 65535'),
        ('"optional": "127.0.0.1:-1"', 'optional: bad port "-1", expected 0 to 65535'),
        ('"optional": "127.0.0.1:٣"', 'optional: bad port "٣", expected 0 to 65535'),
        ('"optional": "127.0.0.1:000080000"',
         'optional: bad port "000080000", expected 0 to 65535'),
        ('"keys": []', "keys: expected at least one key"),
        ('"keys": ["hush"]',
         'keys[0]: expected a key {"id": ..., "secret": ...}, found a string'),
        ('"keys": [{"id": "a", "secret": "s"}, {"id": "a", "secret": "t"}]',
         'keys[1].id: repeated key id "a"'),
    ],
)  # fmt: skip
def test_bad_value_is_named(text, expected):
    """An invalid value is rejected with its setting's name and what was expected."""
    assert problem_of_setting(text) == expected


@pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity"])
def test_number_that_is_not_finite_is_refused(number):
    """NaN and infinities are rejected.

    Guards against a wait without end although its limit is set: comparisons with NaN
    are false, so NaN passes the check against the minimum.
    """
    (problem,) = problems_of(GOOD.replace('"x"', f'"x", "wait_s": {number}') % "")
    assert "inner.wait_s: expected a finite number, found" in problem


def test_secret_is_in_no_problem():
    """A misplaced secret is not repeated in error messages."""
    text = GOOD % '"keys": [{"id": "k", "secret": ["hush"]}, "hush"], "limit": "hush"'
    assert "hush" not in "\n".join(problems_of(text))
    assert "hush" not in repr(Key("k", "hush"))


def test_absent_section_names_what_it_must_hold():
    """A missing section is reported as its missing required settings."""
    assert problems_of('{"listen": "127.0.0.1:80"}') == [
        f"{SOURCE}:1:1: inner.name: missing setting"
    ]


@pytest.mark.parametrize("text", ["[]", "1", "null", '"x"'])
def test_file_must_hold_an_object(text):
    """A file whose outermost value is not an object is rejected."""
    (problem,) = problems_of(text)
    assert problem.startswith(f"{SOURCE}:1:1: expected an object, found ")


def test_syntax_error_is_a_settings_error():
    """A syntax error raises the same exception as an invalid setting."""
    assert problems_of('{"listen"') == [f"{SOURCE}:1:1: unclosed object"]
