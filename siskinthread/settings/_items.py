"""Declarations of settings."""

REQUIRED = object()


class Item:
    """One setting, declared as a class attribute of a `Section`.

    Parameters
    ----------
    kind : type or Choice
        `int`, `float`, `str`, `bool`, a `Section`, a class of `siskinthread.settings`
        or a `Choice` of words.
    default : object
        Value when the file leaves the setting out; without it the setting is required.
        Where it is None the file may hold ``null``.
    minimum : float or None
        Least value of a number, in the unit that the name's suffix states; least
        number of elements of a list.
    description : str
        What the setting does.
    example : object
        Value in the written form of the file for `render_example`; None lets it choose
        one of the kind.
    """

    __slots__ = ("default", "description", "example", "kind", "minimum", "name")

    def __init__(
        self, kind, default=REQUIRED, minimum=None, description="", example=None
    ):
        self.kind = kind
        self.default = default
        self.minimum = minimum
        self.description = description
        self.example = example
        self.name = None

    def __set_name__(self, owner, name):
        self.name = name

    def __get__(self, section, owner=None):
        if section is None:
            return self
        return section.values[self.name]

    @property
    def required(self):
        """Whether the setting has no default."""
        return self.default is REQUIRED

    @property
    def is_section(self):
        """Whether the setting is a group of settings."""
        return isinstance(self.kind, type) and issubclass(self.kind, Section)


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
        self.values = {}
        for item in self.items():
            value = values[item.name] if item.name in values else default_value(item)
            self.values[item.name] = value
        missing = [name for name, value in self.values.items() if value is REQUIRED]
        if missing:
            raise TypeError(f"missing settings: {', '.join(missing)}")

    def with_values(self, **values):
        """Return a copy of the section in which some settings have other values."""
        return type(self)(**(self.values | values))

    @classmethod
    def items(cls):
        """Return the items of the section in the order of their declaration."""
        return [value for value in vars(cls).values() if isinstance(value, Item)]


def default_value(item):
    """Return the value of a setting that is left out.

    Parameters
    ----------
    item : Item

    Returns
    -------
    object
        ``REQUIRED`` where it can't be left out.  A subsection can if all that it
        holds can.
    """
    if not (item.is_section and item.required):
        return item.default
    subdefaults = [default_value(subitem) for subitem in item.kind.items()]
    if any(value is REQUIRED for value in subdefaults):
        return REQUIRED
    return item.kind()
