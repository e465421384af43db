"""The state that accepted records fold to; read by every other sub-package."""


class State:
    """An immutable view of the accepted configuration.

    Parameters
    ----------
    version : int
        Offset of the last accepted record, -1 before the first.
    objects : list
        The objects in force.
    homes_versions : dict of str to int
        By service, the version that last changed the set of its homes.
    homes_changed_at_ms : dict of str to int
        By service, the log's time of that version, Unix milliseconds.
    """

    __slots__ = (
        "accounts",
        "groups",
        "homes_changed_at_ms",
        "homes_versions",
        "hosts",
        "limits",
        "placements",
        "policies",
        "services",
        "version",
    )

    def account_for_key(self, bearer_key):
        """Return the `Account` that a bearer key identifies, or None."""
        raise NotImplementedError

    def service_for_model(self, model):
        """Return the engine `Service` that answers for a model, or None."""
        raise NotImplementedError

    def service_hosts(self, service_name):
        """Return the sorted names of the hosts that placements give a service.

        These are the declared homes of its idempotency keys: they depend on the
        configuration alone, never on which hosts are alive.
        """
        raise NotImplementedError

    def allowed_hosts(self, account_name, service_name):
        """Return the names of the hosts on which an account may use a service.

        A frozenset, cached for the life of the state; empty if no policy allows it.
        """
        raise NotImplementedError

    def priority(self, account_name, service_name):
        """Return the priority of the most urgent policy that matches, or None."""
        raise NotImplementedError

    def account_limits(self, account_name):
        """Return the `Limits` for an account, the strictest of those that match.

        None if there are none.
        """
        raise NotImplementedError
