"""JSON with comments that knows the place of each value.

Interface: ``load_document(text, source_name)`` returns a ``Document`` with ``value``
(plain dicts, lists and scalars) and ``place(path)`` for a tuple of keys and indices, a
``Place`` (line, column).  Repeated keys and syntax errors raise `DocumentError` with
every ``Problem`` (source_name, place, message; ``str`` gives ``file:line:column:
message``).  ``read_document`` does not raise but leaves the problems in
``Document.problems``, for callers that add problems of their own.
"""

from siskinthread.documents._document import Document, load_document, read_document
from siskinthread.documents._one_line import one_line
from siskinthread.documents._places import Place, Problem

__all__ = ["Document", "Place", "Problem", "load_document", "one_line", "read_document"]
