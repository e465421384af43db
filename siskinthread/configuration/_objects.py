"""Labelled objects that operators publish.

Each object has a ``name``, unique within its kind, and ``labels``, a dict of str to
str.  Instances are not modified after construction.
"""


class Host:
    """A host, named as in the host list; the configuration defines only its labels."""

    __slots__ = ("labels", "name")

    def __init__(self, name, labels):
        self.name = name
        self.labels = labels


class Service:
    """A model engine service or a plain service.

    Parameters
    ----------
    name : str
        Name; the path of a plain service starts with ``/services/NAME/``.
    labels : dict of str to str
        Labels.
    kind : str
        "engine" or "plain".
    models : list of str
        Models that an engine service serves.
    idempotent_methods : list of str
        HTTP methods that may be retried unless the caller specifies otherwise.
    lifetime_limit_s : float
        Maximum time between the first issue of an idempotency key and its last retry,
        in seconds.
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
        Engine service that the group serves.
    hosts : Selector
        Hosts whose ranks form the group.
    checks_fencing : bool
        Whether the engines reject an order with an outdated fencing number.
    skew_weight, cost_weight : float
        Weights of the rebalancing objective.
    quiet_windows : list of tuple of int
        Windows in which no expert is moved, as start and end minute of the UTC day.
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
        Hexadecimal SHA-256 digest of each valid bearer key; two digests during a key
        rotation.
    """

    __slots__ = ("key_digests", "labels", "name")

    def __init__(self, name, labels, key_digests):
        self.name = name
        self.labels = labels
        self.key_digests = list(key_digests)


class Placement:
    """Assigns services to hosts.

    Parameters
    ----------
    name, labels
        As for every object.
    services : Selector
        Labels of the services.
    hosts : Selector
        Labels of the hosts that serve these services.
    """

    __slots__ = ("hosts", "labels", "name", "services")

    def __init__(self, name, labels, services, hosts):
        self.name = name
        self.labels = labels
        self.services = services
        self.hosts = hosts


class Policy:
    """Allows accounts to use services on hosts, with a priority.

    Parameters
    ----------
    name, labels
        As for every object.
    accounts, services, hosts : Selector
        Requests of these accounts to these services may run on these hosts.
    priority : int
        0 is the most urgent; if several policies match, the most urgent applies.
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
    """Rate limits of the accounts that a selector matches, applied per account.

    Parameters
    ----------
    name, labels
        As for every object.
    accounts : Selector
        Accounts that the limits apply to.
    requests_per_s, tokens_per_s : float
        Sustained rates, summed over all entry hosts.
    burst_s : float
        Burst size of an idle account, as seconds of the sustained rate.
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


# Classes by the name of their kind, which is the key of a list in files and records.
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
