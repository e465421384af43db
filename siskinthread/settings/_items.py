"""Declarations of settings."""

REQUIRED = object()


class Item:
    """One setting, declared as a class attribute of a `Section`.

    Parameters
    ----------
    kind : type or Choice
        `int`, `float`, `str`, `bool`, a `Section`, a class of `siskinthread.settings`
        or a `Choice`.
    default : object
        Value if the file omits the setting; a setting without a default is required.
        If the default is None, the file may contain ``null``.
    minimum : float or None
        Minimum value of a number, in the unit given by the suffix of the name, or
        minimum length of a list.
    description : str
        What the setting does.
    example : object
        Example value for `render_example`, in JSON form.  If None, the minimum or a
        generic value of the kind is used.
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
        """Whether the kind of the setting is a `Section`."""
        return isinstance(self.kind, type) and issubclass(self.kind, Section)


class Section:
    """A group of settings; subclasses declare one `Item` per setting.

    Parameters
    ----------
    **values
        Values by name.  Omitted settings take their defaults; an omitted subsection is
        built from its own defaults.

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
        """Return a copy of the section with the given values replaced."""
        return type(self)(**(self.values | values))

    @classmethod
    def items(cls):
        """Return the items of the section in the order of their declaration."""
        return [value for value in vars(cls).values() if isinstance(value, Item)]


def default_value(item):
    """Return the value of a setting that the file omits.

    Parameters
    ----------
    item : Item

    Returns
    -------
    object
        ``REQUIRED`` if the setting can't be omitted.  A subsection without a default
        can be omitted if all of its own settings can.
    """
    if not (item.is_section and item.required):
        return item.default
    subdefaults = [default_value(subitem) for subitem in item.kind.items()]
    if any(value is REQUIRED for value in subdefaults):
        return REQUIRED
    return item.kind()
