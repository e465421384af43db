"""The labelled objects that operators publish.

Every object has a ``name``, unique within its kind, and ``labels``, a dict of str to
str.  Instances are not changed once built.
"""


class Host:
    """A host, named as in the host list; configuration gives it labels only."""

    __slots__ = ("labels", "name")

    def __init__(self, name, labels):
        self.name = name
        self.labels = labels


class Service:
    """A model engine service or a plain service.

    Parameters
    ----------
    name : str
        Name; plain services are called under ``/services/NAME/``.
    labels : dict of str to str
        Labels.
    kind : str
        "engine" or "plain".
    models : list of str
        Models that an engine service answers for.
    idempotent_methods : list of str
        HTTP methods that may be repeated unless the caller says otherwise.
    lifetime_limit_s : float
        Longest time between the first issue of an idempotency key and its last retry.
    """

    __slots__ = (
        "idempotent_methods",
        "kind",
        "labels",
        "lifetime_limit_s",
        "models",
        "name",
    )

    def __init__(
        self,
        name,
        labels,
        kind,
        models=(),
        idempotent_methods=("GET", "HEAD"),
        lifetime_limit_s=300.0,
    ):
        self.name = name
        self.labels = labels
        self.kind = kind
        self.models = list(models)
        self.idempotent_methods = list(idempotent_methods)
        self.lifetime_limit_s = lifetime_limit_s


class ModelGroup:
    """An expert-parallel group of ranks.

    Parameters
    ----------
    name, labels
        As for every object.
    service : str
        Engine service that the group answers for.
    hosts : Selector
        Hosts whose ranks form the group.
    checks_fencing : bool
        Whether its engines refuse an order with an old fencing number.
    skew_weight, cost_weight : float
        Weights of the rebalancing objective.
    quiet_windows : list of tuple of int
        Minutes of the UTC day, from and to, within which no expert is moved.
    """

    __slots__ = (
        "checks_fencing",
        "cost_weight",
        "hosts",
        "labels",
        "name",
        "quiet_windows",
        "service",
        "skew_weight",
    )

    def __init__(
        self,
        name,
        labels,
        service,
        hosts,
        checks_fencing=False,
        skew_weight=1.0,
        cost_weight=1.0,
        quiet_windows=(),
    ):
        self.name = name
        self.labels = labels
        self.service = service
        self.hosts = hosts
        self.checks_fencing = checks_fencing
        self.skew_weight = skew_weight
        self.cost_weight = cost_weight
        self.quiet_windows = list(quiet_windows)


class Account:
    """A client account.

    Parameters
    ----------
    name, labels
        As for every object.
    key_digests : list of str
        SHA-256 of each valid bearer key, in hexadecimal; two while keys rotate.
    """

    __slots__ = ("key_digests", "labels", "name")

    def __init__(self, name, labels, key_digests):
        self.name = name
        self.labels = labels
        self.key_digests = list(key_digests)


class Placement:
    """Which hosts serve which services.

    Parameters
    ----------
    name, labels
        As for every object.
    services : Selector
        Services that are placed, by label.
    hosts : Selector
        Hosts that serve them, by label.
    """

    __slots__ = ("hosts", "labels", "name", "services")

    def __init__(self, name, labels, services, hosts):
        self.name = name
        self.labels = labels
        self.services = services
        self.hosts = hosts


class Policy:
    """Which accounts may use which services, where, and how urgently.

    Parameters
    ----------
    name, labels
        As for every object.
    accounts, services, hosts : Selector
        Whose requests, to what, may run where.
    priority : int
        0 is the most urgent; the most urgent matching policy counts.
    """

    __slots__ = ("accounts", "hosts", "labels", "name", "priority", "services")

    def __init__(self, name, labels, accounts, services, hosts, priority):
        self.name = name
        self.labels = labels
        self.accounts = accounts
        self.services = services
        self.hosts = hosts
        self.priority = priority


class Limits:
    """Limits of the accounts that a selector matches, each account for itself.

    Parameters
    ----------
    name, labels
        As for every object.
    accounts : Selector
        Accounts under the limits.
    requests_per_s, tokens_per_s : float
        Steady rates over all entry hosts together.
    burst_s : float
        Seconds' worth of the rate that an idle account may use at once.
    """

    __slots__ = (
        "accounts",
        "burst_s",
        "labels",
        "name",
        "requests_per_s",
        "tokens_per_s",
    )

    def __init__(
        self, name, labels, accounts, requests_per_s, tokens_per_s, burst_s=2.0
    ):
        self.name = name
        self.labels = labels
        self.accounts = accounts
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
        self.burst_s = burst_s


# The kinds by the name of their list in files and records.
KINDS = {
    "hosts": Host,
    "services": Service,
    "groups": ModelGroup,
    "accounts": Account,
    "placements": Placement,
    "policies": Policy,
    "limits": Limits,
}
_KIND_NAMES = {configured_class: kind for kind, configured_class in KINDS.items()}


def kind_of(configured):
    """Return the name of an object's kind, for example ``"hosts"``."""
    return _KIND_NAMES[type(configured)]
