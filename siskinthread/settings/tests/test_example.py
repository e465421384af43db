"""Tests that rendered examples are valid settings files."""

import importlib
import pkgutil

import siskinthread
from siskinthread.settings import (
    Address,
    AddressList,
    Choice,
    Item,
    Key,
    KeyList,
    load_section,
    render_example,
    Section,
    StringList,
)


def declared_sections():
    """Return every section that the project declares."""
    for module in pkgutil.walk_packages(siskinthread.__path__, "siskinthread."):
        if ".tests" not in module.name and not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    sections = Section.__subclasses__()
    return [section for section in sections if ".tests" not in section.__module__]


class Inner(Section):
    size_bytes = Item(int, minimum=1024, description="Size.")


class AllKinds(Section):
    flag = Item(bool)
    count = Item(int)
    rate_per_s = Item(float, minimum=2.5, description="Long words. " * 20)
    text = Item(str, example='a "quoted" \\ text // no comment')
    word = Item(Choice("low", "high"))
    listen = Item(Address, default=Address("::1", 8080))
    others = Item(AddressList, default=(Address("10.0.0.1", 1),))
    labels = Item(StringList, minimum=1)
    key = Item(Key)
    keys = Item(KeyList)
    inner = Item(Inner, description="A section.")
    optional = Item(Inner, default=None)


def check_round_trip(section_class):
    loaded = load_section(section_class, render_example(section_class), "example")
    for item in section_class.items():
        if not item.required:
            assert as_list(getattr(loaded, item.name)) == as_list(item.default)


def test_example_of_every_kind_loads_again():
    """An example is valid and contains the default of each setting that has one."""
    check_round_trip(AllKinds)


def test_example_of_every_section_of_the_project_loads_again():
    """No section has a default or an example value that `load_section` rejects."""
    sections = declared_sections()
    assert sections
    for section_class in sections:
        check_round_trip(section_class)


def as_list(value):
    """Convert tuples and list subclasses to lists, so that they compare as equal."""
    return list(value) if isinstance(value, list | tuple) else value


def test_example_states_what_an_operator_must_know():
    """Description, type, unit, default and minimum precede each setting."""
    lines = render_example(AllKinds).splitlines()
    assert max(map(len, lines)) <= 88
    position = lines.index('    "inner": {')
    assert lines[position - 2 : position + 4] == [
        "    // A section.",
        "    // Section, required.",
        '    "inner": {',
        "        // Size.",
        "        // Type: whole number; unit: bytes; required; minimum: 1024.",
        '        "size_bytes": 1024,',
    ]
    assert "    // Type: boolean; required." in lines
    assert '    // Type: one of "low", "high"; required.' in lines


def test_every_setting_of_the_project_has_a_description():
    """Every setting has a description."""
    undescribed = [
        f"{section.__name__}.{item.name}"
        for section in declared_sections()
        for item in section.items()
        if not item.description
    ]
    assert undescribed == []
