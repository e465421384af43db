"""JSON with comments that knows the place of each value.

Interface: ``load_document(text, source_name)`` returns a ``Document`` with ``value``
(plain dicts, lists and scalars) and ``place(path)`` for a tuple of keys and indices, a
``Place`` (line, column).  Repeated keys and syntax errors raise `DocumentError` with
every ``Problem`` (source_name, place, message; ``str`` gives ``file:line:column:
message``).
"""
