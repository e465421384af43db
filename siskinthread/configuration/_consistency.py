"""Rules that the whole of a configuration must meet; part of the record format."""

from siskinthread.configuration._forms import Finding
from siskinthread.configuration._objects import KINDS


def find_inconsistencies(tables, changed_kinds=frozenset(KINDS)):
    """Return what is wrong between the objects of a configuration.

    Parameters
    ----------
    tables : dict
        By kind, a dict of objects by name.
    changed_kinds : set of str
        Kinds that differ from a configuration without any inconsistency; what
        concerns none of them isn't checked again.

    Returns
    -------
    list of Finding
        In a fixed order; the path of each is kind, name and field.
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
    # Two services for one model would leave it to each entry which of them answers.
    holders = {}
    for name, service in sorted(tables["services"].items()):
        for model in service.models:
            _claim(holders, model, ("services", name, "models"), findings, "model")


def _check_key_digests(tables, findings):
    # One key for two accounts would charge one account for the other's requests.
    holders = {}
    for name, account in sorted(tables["accounts"].items()):
        for digest in account.key_digests:
            path = ("accounts", name, "key_digests")
            _claim(holders, digest, path, findings, "key digest")


def _claim(holders, item, path, findings, noun):
    holder = holders.setdefault(item, path[1])
    if holder != path[1]:
        findings.append(Finding(path, f"{noun} {item!r} is in {holder!r} too"))
