"""Declarations of settings."""

REQUIRED = object()


class Item:
    """One setting, declared as a class attribute of a `Section`.

    Parameters
    ----------
    kind : type
        `int`, `float`, `str`, `bool`, a `Section` or a class of
        `siskinthread.settings`.
    default : object
        Value when the file leaves the setting out; without it the setting is required.
    minimum : float or None
        Least value of a number, in the unit that the name's suffix states.
    description : str
        What the setting does.
    """

    __slots__ = ("default", "description", "kind", "minimum", "name")

    def __init__(self, kind, default=REQUIRED, minimum=None, description=""):
        self.kind = kind
        self.default = default
        self.minimum = minimum
        self.description = description
        self.name = None

    def __set_name__(self, owner, name):
        self.name = name

    def __get__(self, section, owner=None):
        if section is None:
            return self
        return section.values[self.name]

    @property
    def required(self):
        """Whether the file must hold the setting."""
        return self.default is REQUIRED


class Section:
    """A group of settings; subclasses declare an `Item` for each one.

    Parameters
    ----------
    **values
        Values by name.  Those left out take their default; a subsection without a
        value is built from its own defaults.

    Raises
    ------
    TypeError
        If a name is unknown or a required value is missing.
    """

    __slots__ = ("values",)

    def __init__(self, **values):
        unknown = sorted(set(values) - {item.name for item in self.items()})
        if unknown:
            raise TypeError(f"unknown settings: {', '.join(unknown)}")
        self.values = {
            item.name: values.get(item.name, _default(item)) for item in self.items()
        }
        missing = [name for name, value in self.values.items() if value is REQUIRED]
        if missing:
            raise TypeError(f"missing settings: {', '.join(missing)}")

    @classmethod
    def items(cls):
        """Return the items of the section in the order of their declaration."""
        return [value for value in vars(cls).values() if isinstance(value, Item)]


def _default(item):
    if isinstance(item.kind, type) and issubclass(item.kind, Section) and item.required:
        required = any(subitem.required for subitem in item.kind.items())
        return REQUIRED if required else item.kind()
    return item.default
