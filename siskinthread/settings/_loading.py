"""Conversion of a document to a settings object."""

from siskinthread.documents import read_document
from siskinthread.errors import SettingsError
from siskinthread.settings._items import default_value, REQUIRED
from siskinthread.settings._reading import (
    INVALID,
    read_value,
    Reading,
    unknown_key,
    wrong_type,
)


def load_section(section_class, text, source_name):
    """Build a settings object from the text of a file.

    Parameters
    ----------
    section_class : type
        The `Section` to build.
    text : str
        JSON with comments.
    source_name : str
        Name of the file, for error messages.

    Returns
    -------
    Section

    Raises
    ------
    SettingsError
        Lists every problem with its position in the file: unknown, repeated and
        missing keys, wrong types, numbers below their minimum, invalid addresses.
    """
    document = read_document(text, source_name)
    reading = Reading(document)
    if document.value is None and document.problems:
        raise SettingsError(reading.problems)
    section = _read_section(section_class, document.value, (), reading)
    if reading.problems:
        raise SettingsError(sorted(reading.problems, key=lambda found: found.place))
    return section


def _read_section(section_class, value, path, reading):
    if not isinstance(value, dict):
        return wrong_type("an object", value, path, reading)
    names = [item.name for item in section_class.items()]
    for key in value:
        if key not in names:
            unknown_key(key, names, (*path, key), reading)
    values = {}
    for item in section_class.items():
        values[item.name] = _read_item(item, value, path, reading)
    if any(result is INVALID for result in values.values()):
        return INVALID
    return section_class(**values)


def _read_item(item, section_value, section_path, reading):
    path = (*section_path, item.name)
    if item.name not in section_value:
        return _read_absent_item(item, path, reading)
    value = section_value[item.name]
    if not item.is_section:
        return read_value(item, value, path, reading)
    if value is None and item.default is None:
        return None
    return _read_section(item.kind, value, path, reading)


def _read_absent_item(item, path, reading):
    default = default_value(item)
    if default is not REQUIRED:
        return default
    if item.is_section:
        # Reading an empty object reports each required setting of the section.
        return _read_section(item.kind, {}, path, reading)
    return reading.report(path, "missing setting")
