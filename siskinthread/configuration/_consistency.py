"""Rules between the objects of a configuration; part of the record format."""

from siskinthread.configuration._forms import Finding
from siskinthread.configuration._objects import KINDS


def find_inconsistencies(tables, changed_kinds=frozenset(KINDS)):
    """Return the inconsistencies between the objects of a configuration.

    Parameters
    ----------
    tables : dict of dict
        Objects by kind and name.
    changed_kinds : set of str
        Kinds that differ from a consistent configuration.  Rules that involve none of
        these kinds are not checked again.

    Returns
    -------
    list of Finding
        In a fixed order; each path consists of kind, name and field.
    """
    findings = []
    if changed_kinds & {"groups", "services"}:
        _check_groups(tables, findings)
    if "services" in changed_kinds:
        _check_models(tables, findings)
    if "accounts" in changed_kinds:
        _check_key_digests(tables, findings)
    return findings


def _check_groups(tables, findings):
    for name, group in sorted(tables["groups"].items()):
        service = tables["services"].get(group.service)
        if service is None:
            message = f"there is no service {group.service!r}"
        elif service.kind != "engine":
            message = f"service {group.service!r} is no engine service"
        else:
            continue
        findings.append(Finding(("groups", name, "service"), message))


def _check_models(tables, findings):
    # With two services for one model, each entry could route its requests to a
    # different service.
    owners = {}
    for name, service in sorted(tables["services"].items()):
        for model in service.models:
            _check_unique(
                owners, model, ("services", name, "models"), findings, "model"
            )


def _check_key_digests(tables, findings):
    # A key shared by two accounts would charge one account for the other's requests.
    owners = {}
    for name, account in sorted(tables["accounts"].items()):
        for digest in account.key_digests:
            path = ("accounts", name, "key_digests")
            _check_unique(owners, digest, path, findings, "key digest")


def _check_unique(owners, item, path, findings, noun):
    owner = owners.setdefault(item, path[1])
    if owner != path[1]:
        findings.append(Finding(path, f"{noun} {item!r} is in {owner!r} too"))
