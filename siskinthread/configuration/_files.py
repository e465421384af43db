"""Reading of configuration files, with the position of every problem."""

from siskinthread.configuration._consistency import find_inconsistencies
from siskinthread.configuration._forms import Finding
from siskinthread.configuration._objects import kind_of, KINDS
from siskinthread.configuration._schema import NAME, read_object, with_defaults
from siskinthread.configuration._selector import Selector
from siskinthread.documents import Place, Problem, read_document

REMOVED = "removed"
# Kind of the objects that each selector field is matched against.
_SELECTED_KINDS = {"accounts": "accounts", "hosts": "hosts", "services": "services"}


class ConfigurationFiles:
    """The objects of one or several configuration files.

    Attributes
    ----------
    objects : list
        Valid objects.
    removed : list of tuple of str
        Kind and name of each object to remove.
    kinds : set of str
        Kinds for which the files contain a list, even an empty list.
    problems : list of siskinthread.documents.Problem
        All problems, in the order of the files.
    """

    __slots__ = ("_places", "kinds", "objects", "problems", "removed")

    def __init__(self):
        self.objects = []
        self.removed = []
        self.kinds = set()
        self.problems = []
        self._places = {}

    def add(self, text, source_name):
        """Read one file; its problems are added to `problems`."""
        document = read_document(text, source_name)
        findings = []
        if not document.problems:
            self._read_kinds(document, findings)
        found = document.problems + [
            Problem(source_name, document.place(finding.path), finding.message)
            for finding in findings
        ]
        self.problems.extend(sorted(found, key=lambda problem: problem.place))

    def find_inconsistencies(self, tables):
        """Return the inconsistencies between objects as problems.

        Parameters
        ----------
        tables : dict of dict
            Objects by kind and name after the files are published.

        Returns
        -------
        list of siskinthread.documents.Problem
        """
        return [self._problem(finding) for finding in find_inconsistencies(tables)]

    def find_unmatched_selectors(self, tables):
        """Return a problem for each selector of the files that matches nothing."""
        return [
            self._problem(Finding((kind, name, field), message))
            for configured in self.objects
            for kind, name in [(kind_of(configured), configured.name)]
            for field, message in _unmatched_selectors(configured, tables)
        ]

    def _read_kinds(self, document, findings):
        if not isinstance(document.value, dict):
            findings.append(Finding((), "a configuration is a dict of lists"))
            return
        for kind, items in document.value.items():
            if not isinstance(items, list):
                findings.append(Finding((kind,), "is no list"))
            elif kind == REMOVED:
                self._read_removed(items, document, findings)
            elif kind in KINDS:
                self.kinds.add(kind)
                self._read_objects(kind, items, document, findings)
            else:
                known = ", ".join([*KINDS, REMOVED])
                findings.append(Finding((kind,), f"{kind!r} is none of {known}"))

    def _read_objects(self, kind, items, document, findings):
        for index, item in enumerate(items):
            path = (kind, index)
            filled = with_defaults(kind, item) if isinstance(item, dict) else item
            configured = read_object(kind, filled, path, findings)
            if configured is None:
                continue
            self._register_place((kind, configured.name), path, document, findings)
            self.objects.append(configured)

    def _read_removed(self, items, document, findings):
        for index, item in enumerate(items):
            path = (REMOVED, index)
            kind, _, name = item.partition("/") if isinstance(item, str) else ("",) * 3
            if kind not in KINDS or not NAME.accepts(name):
                message = f"{item!r} isn't of the form hosts/NAME"
                findings.append(Finding(path, message))
                continue
            self._register_place((kind, name), path, document, findings)
            self.removed.append((kind, name))

    def _register_place(self, key, path, document, findings):
        if key in self._places:
            first, first_path = self._places[key]
            place = f"{first.source_name}:{first.place(first_path)}"
            message = f"{'/'.join(key)} stands at {place} too"
            findings.append(Finding(path, message))
        else:
            self._places[key] = (document, path)

    def _problem(self, finding):
        kind, name, *field = finding.path
        message = f"{kind}/{name}: {finding.message}"
        if (kind, name) not in self._places:
            return Problem("published", Place(1, 1), message)
        document, path = self._places[kind, name]
        place = document.place((*path, *field))
        return Problem(document.source_name, place, message)


def _unmatched_selectors(configured, tables):
    for field, kind in _SELECTED_KINDS.items():
        selector = getattr(configured, field, None)
        if not isinstance(selector, Selector):
            continue
        if not any(selector.matches(item.labels) for item in tables[kind].values()):
            yield field, f"selector {selector.text!r} matches none of the {kind}"
