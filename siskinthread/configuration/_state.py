"""State of the configuration after folding, used by the other sub-packages."""

import hashlib

from siskinthread.configuration._homes import homes_for
from siskinthread.configuration._objects import kind_of, KINDS, Limits


class Access:
    """Access of an account to a service.

    Parameters
    ----------
    hosts : frozenset of str
        Names of the hosts on which the account may use the service.
    priority : int or None
        Priority of the most urgent matching policy; None if no policy matches.
    """

    __slots__ = ("hosts", "priority")

    def __init__(self, hosts, priority):
        self.hosts = hosts
        self.priority = priority


class State:
    """An immutable view of the accepted configuration.

    Parameters
    ----------
    version : int
        Offset of the last accepted record; -1 before the first.
    objects : list
        Objects in force.
    homes_versions : dict of str to int
        By service, the version that last changed the set of its homes; `version` for
        omitted services.
    homes_changed_at_ms : dict of str to int
        By service, the log time of that version in Unix milliseconds; 0 for omitted
        services.
    homes_histories : dict of str to list of Homes
        By service, its homes within the maximum age of a key.  Omitted services have
        had their current homes at all times.

    Attributes
    ----------
    hosts, services, accounts, placements, policies, limits, groups : dict
        Objects by name, sorted by name.

    Notes
    -----
    A state is immutable, so the results of lookups that require a scan are cached.
    """

    __slots__ = (
        "_accounts_by_digest",
        "_accesses",
        "_hosts_by_labels",
        "_hosts_by_selector",
        "_limits_by_account",
        "_service_hosts",
        "_services_by_model",
        "_shared_accesses",
        "accounts",
        "groups",
        "homes_changed_at_ms",
        "homes_histories",
        "homes_versions",
        "hosts",
        "limits",
        "placements",
        "policies",
        "services",
        "version",
    )

    def __init__(
        self,
        version,
        objects,
        homes_versions=None,
        homes_changed_at_ms=None,
        homes_histories=None,
    ):
        self.version = version
        tables = {kind: {} for kind in KINDS}
        for configured in sorted(objects, key=lambda configured: configured.name):
            tables[kind_of(configured)][configured.name] = configured
        for kind, table in tables.items():
            setattr(self, kind, table)
        self.set_homes(homes_histories or {})
        self.homes_versions.update(homes_versions or {})
        self.homes_changed_at_ms.update(homes_changed_at_ms or {})
        self._accounts_by_digest = _index_accounts(self.accounts)
        self._services_by_model = _index_models(self.services)
        self._hosts_by_labels = _group_by_labels(self.hosts)
        self._hosts_by_selector = {}
        self._service_hosts = {}
        self._accesses = {}
        self._shared_accesses = {}
        self._limits_by_account = {}

    def set_homes(self, histories):
        """Set the histories of homes; only to be used while the state is built."""
        self.homes_histories = dict(histories)
        latest = {name: history[-1] for name, history in histories.items()}
        self.homes_versions = {
            name: latest[name].version if name in latest else self.version
            for name in self.services
        }
        self.homes_changed_at_ms = {
            name: latest[name].changed_at_ms if name in latest else 0
            for name in self.services
        }

    def objects(self):
        """Return all objects, sorted by kind and name."""
        return [
            configured for kind in KINDS for configured in getattr(self, kind).values()
        ]

    def size(self):
        """Return the number of objects."""
        return sum(len(getattr(self, kind)) for kind in KINDS)

    def account_for_key(self, bearer_key):
        """Return the `Account` that a bearer key identifies, or None."""
        return self._accounts_by_digest.get(digest_key(bearer_key))

    def service_for_model(self, model):
        """Return the engine `Service` that serves a model, or None."""
        return self._services_by_model.get(model)

    def service_hosts(self, service_name):
        """Return the sorted names of the hosts that placements assign to a service.

        These hosts are the homes of its idempotency keys: they depend only on the
        configuration, never on which hosts are alive.  The list is cached and must not
        be modified.
        """
        if service_name not in self._service_hosts:
            self._service_hosts[service_name] = self._find_service_hosts(service_name)
        return self._service_hosts[service_name]

    def homes_at(self, service_name, issued_at_ms):
        """Return the homes of idempotency keys issued at a given time.

        Parameters
        ----------
        service_name : str
            Name of a service.
        issued_at_ms : int
            Time of the first issue of the key, in Unix milliseconds.

        Returns
        -------
        homes_version : int
            Version of the configuration that introduced these homes.
        hosts : list of str
            Sorted host names; empty if the service had no homes.
        """
        history = self.homes_histories.get(service_name)
        if history is None:
            version = self.homes_versions.get(service_name, -1)
            return version, self.service_hosts(service_name)
        homes = homes_for(history, issued_at_ms)
        return homes.version, homes.hosts

    def allowed_hosts(self, account_name, service_name):
        """Return the names of the hosts on which an account may use a service.

        Returns a frozenset, cached with the state; empty if no policy allows access.
        """
        return self._access(account_name, service_name).hosts

    def priority(self, account_name, service_name):
        """Return the priority of the most urgent matching policy, or None."""
        return self._access(account_name, service_name).priority

    def account_limits(self, account_name):
        """Return the `Limits` of an account, or None if no limits match.

        If several limits match, each rate is the minimum over them.
        """
        if account_name not in self._limits_by_account:
            self._limits_by_account[account_name] = self._find_limits(account_name)
        return self._limits_by_account[account_name]

    def _find_service_hosts(self, service_name):
        service = self.services.get(service_name)
        if service is None:
            return []
        placements = [
            placement
            for placement in self.placements.values()
            if placement.services.matches(service.labels)
        ]
        return sorted(self._hosts_of(placements))

    def _hosts_of(self, holders):
        chosen = (self._selected_hosts(holder.hosts) for holder in holders)
        return frozenset().union(*chosen)

    def _selected_hosts(self, selector):
        if selector.text not in self._hosts_by_selector:
            self._hosts_by_selector[selector.text] = frozenset(
                name
                for labels, names in self._hosts_by_labels
                if selector.matches(labels)
                for name in names
            )
        return self._hosts_by_selector[selector.text]

    def _access(self, account_name, service_name):
        key = (account_name, service_name)
        if key not in self._accesses:
            self._accesses[key] = self._find_access(*key)
        return self._accesses[key]

    def _find_access(self, account_name, service_name):
        policies = self._find_policies(account_name, service_name)
        # Shared between accounts: for thousands of accounts, a separate set of hosts
        # per account and service would exceed the memory limit of the process.
        shared_key = (service_name, *(policy.name for policy in policies))
        if shared_key not in self._shared_accesses:
            self._shared_accesses[shared_key] = Access(
                self._hosts_of(policies).intersection(self.service_hosts(service_name)),
                min((policy.priority for policy in policies), default=None),
            )
        return self._shared_accesses[shared_key]

    def _find_policies(self, account_name, service_name):
        account = self.accounts.get(account_name)
        service = self.services.get(service_name)
        if account is None or service is None:
            return []
        return [
            policy
            for policy in self.policies.values()
            if policy.accounts.matches(account.labels)
            and policy.services.matches(service.labels)
        ]

    def _find_limits(self, account_name):
        account = self.accounts.get(account_name)
        if account is None:
            return None
        matching = [
            limits
            for limits in self.limits.values()
            if limits.accounts.matches(account.labels)
        ]
        if len(matching) < 2:
            return matching[0] if matching else None
        return Limits(
            "+".join(limits.name for limits in matching),
            {},
            matching[0].accounts,
            min(limits.requests_per_s for limits in matching),
            min(limits.tokens_per_s for limits in matching),
            min(limits.burst_s for limits in matching),
        )


def digest_key(bearer_key):
    """Return the hexadecimal SHA-256 digest of a bearer key."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def _group_by_labels(hosts):
    """Return pairs of labels and the names of the hosts with these labels.

    Most hosts share their labels with other hosts, so a selector is matched against far
    fewer label dicts than there are hosts.
    """
    groups = {}
    for host in hosts.values():
        key = tuple(sorted(host.labels.items()))
        groups.setdefault(key, (host.labels, []))[1].append(host.name)
    return list(groups.values())


def _index_accounts(accounts):
    return {
        digest: account
        for account in accounts.values()
        for digest in account.key_digests
    }


def _index_models(services):
    return {
        model: service
        for service in services.values()
        if service.kind == "engine"
        for model in service.models
    }
