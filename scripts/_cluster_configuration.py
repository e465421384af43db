"""Configuration that a cluster publishes, with labels and selectors."""

import hashlib

ENGINE_SERVICE = "draft-llm"
PLAIN_SERVICE = "rounds-app"
MODEL = "draft-llm"


class Account:
    """A client account and its bearer key."""

    __slots__ = ("key", "labels", "name")

    def __init__(self, name, labels):
        self.name = name
        self.labels = labels
        self.key = f"key-of-{name}"


ACCOUNTS = (
    Account("day-team-north", {"member": "husvordur", "work": "drafts"}),
    Account("day-team-south", {"member": "husvordur", "work": "drafts"}),
    Account("duty-engineer", {"member": "planovergang", "work": "drafts"}),
    Account("crossing-alerts", {"member": "planovergang", "work": "alerts"}),
)


def configuration(agents, options):
    """Return the objects to publish, as JSON values by kind.

    Parameters
    ----------
    agents : list of scripts._cluster_options.Node
        Hosts with targets.
    options : scripts._cluster_options.ClusterOptions
        Options with the limits.
    """
    return {
        "hosts": [
            {"name": node.name, "labels": {"runs": node.kind}} for node in agents
        ],
        "services": _services(),
        "accounts": [_account(account) for account in ACCOUNTS],
        "placements": _placements(),
        "policies": _policies(),
        "limits": [
            {
                "name": "everyone",
                "accounts": "",
                "requests_per_s": options.requests_per_s,
                "tokens_per_s": options.tokens_per_s,
            }
        ],
    }


def _services():
    engine = {
        "name": ENGINE_SERVICE,
        "labels": {"kind": "engine"},
        "kind": "engine",
        "models": [MODEL],
    }
    plain = {"name": PLAIN_SERVICE, "labels": {"kind": "plain"}, "kind": "plain"}
    return [engine, plain]


def _account(account):
    digest = hashlib.sha256(account.key.encode()).hexdigest()
    return {
        "name": account.name,
        "labels": account.labels,
        "key_digests": [digest],
    }


def _placements():
    return [
        {"name": "drafts", "services": "kind=engine", "hosts": "runs=engine"},
        {"name": "alerts", "services": "kind=plain", "hosts": "runs=plain"},
    ]


def _policies():
    return [
        {
            "name": "alerts-first",
            "accounts": "work in (alerts,drafts)",
            "services": "kind=plain",
            "hosts": "runs=plain",
            "priority": 0,
        },
        {
            "name": "drafts",
            "accounts": "work=drafts",
            "services": "kind=engine",
            "hosts": "runs=engine",
            "priority": 2,
        },
    ]
