"""From a document to a settings object."""


def load_section(section_class, text, source_name):
    """Read a settings object from the text of a file.

    Parameters
    ----------
    section_class : type
        The `Section` to build.
    text : str
        JSON with comments.
    source_name : str
        Name of the file, for messages.

    Returns
    -------
    Section

    Raises
    ------
    SettingsError
        With every problem and its place in the file: unknown, repeated and missing
        keys, wrong types, numbers under their minimum, bad addresses.
    """
    raise NotImplementedError
