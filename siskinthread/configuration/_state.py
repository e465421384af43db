"""The state that accepted records fold to; read by every other sub-package."""

import hashlib

from siskinthread.configuration._homes import homes_for
from siskinthread.configuration._objects import kind_of, KINDS, Limits


class Access:
    """What an account may do with a service.

    Parameters
    ----------
    hosts : frozenset of str
        Names of the hosts on which it may use the service.
    priority : int or None
        Of the most urgent policy that matches.
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
        Offset of the last accepted record, -1 before the first.
    objects : list
        The objects in force.
    homes_versions : dict of str to int
        By service, the version that last changed the set of its homes.  Services that
        are left out get `version`.
    homes_changed_at_ms : dict of str to int
        By service, the log's time of that version, Unix milliseconds.  Services that
        are left out get 0.

    homes_histories : dict of str to list of Homes
        By service, its homes of the last day.  Services that are left out have had
        their present homes from the beginning.

    Attributes
    ----------
    hosts, services, accounts, placements, policies, limits, groups : dict
        Objects by name, in the order of their names.

    Notes
    -----
    A state answers for its whole life as it did at first, so answers that take a scan
    are kept.
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
        """Set the homes' histories while the state is made; not to be used later."""
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
        """Return all objects, by kind and name."""
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
        """Return the engine `Service` that answers for a model, or None."""
        return self._services_by_model.get(model)

    def service_hosts(self, service_name):
        """Return the sorted names of the hosts that placements give a service.

        These are the declared homes of its idempotency keys: they depend on the
        configuration alone, never on which hosts are alive.  The list is shared: don't
        change it.
        """
        if service_name not in self._service_hosts:
            self._service_hosts[service_name] = self._find_service_hosts(service_name)
        return self._service_hosts[service_name]

    def homes_at(self, service_name, issued_at_ms):
        """Return the homes of the idempotency keys that were issued at a time.

        Parameters
        ----------
        service_name : str
            Name of a service.
        issued_at_ms : int
            Time of the first issue of the key, Unix milliseconds.

        Returns
        -------
        homes_version : int
            Version of the configuration that made these homes.
        hosts : list of str
            Names of the hosts, sorted; empty if the service had none.
        """
        history = self.homes_histories.get(service_name)
        if history is None:
            version = self.homes_versions.get(service_name, -1)
            return version, self.service_hosts(service_name)
        homes = homes_for(history, issued_at_ms)
        return homes.version, homes.hosts

    def allowed_hosts(self, account_name, service_name):
        """Return the names of the hosts on which an account may use a service.

        A frozenset, cached for the life of the state; empty if no policy allows it.
        """
        return self._access(account_name, service_name).hosts

    def priority(self, account_name, service_name):
        """Return the priority of the most urgent policy that matches, or None."""
        return self._access(account_name, service_name).priority

    def account_limits(self, account_name):
        """Return the `Limits` for an account, the strictest of those that match.

        Where several match, each rate is the least of theirs.  None if there are none.
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
        # Shared between accounts: thousands of accounts with a set of hosts of their
        # own for each service would take more memory than the whole process may have.
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
    """Return the SHA-256 of a bearer key, in hexadecimal."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def _group_by_labels(hosts):
    """Return pairs of labels and the names of the hosts that have them.

    Most hosts share their labels with others, so that a selector is matched with far
    fewer dicts of labels than there are hosts.
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
