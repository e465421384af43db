"""JSON with comments, with the source position of each value.

``load_document(text, source_name)`` returns a `Document`.  Its ``value`` consists of
plain dicts, lists and scalars, and its ``place(path)`` returns the `Place` (line and
column) of the value at a tuple of keys and indices.  Repeated keys and syntax errors
raise `DocumentError` with a list of `Problem`, which ``str`` formats as
``file:line:column: message``.  ``read_document`` doesn't raise but keeps the problems
in ``Document.problems``, for callers that add further problems.
"""

from siskinthread.documents._document import Document, load_document, read_document
from siskinthread.documents._one_line import one_line
from siskinthread.documents._places import Place, Problem

__all__ = ["Document", "Place", "Problem", "load_document", "one_line", "read_document"]
