"""Choice of a target.

Interface: ``Router(settings, own_failure_domain, view, membership, links, clock,
metrics, random)``:

- ``choose(request, excluded)``: name of a host for a `CallerRequest`, or None.  With an
  idempotency key, the key's home, whatever its state.
- ``home(service_name, idempotency_key, issued_at_ms)``: the declared home of a key,
  from ``home_of(hosts, idempotency_key)``, which the agent uses too.
- ``started(host, request)`` and ``ended(host, request, outcome, first_byte_s)``.
- ``first_byte(host, request, first_byte_s)`` as soon as the first byte is there;
  without it the router learns of a slow target only when streams end, and of a stalled
  one only from its agent.
- ``service_load(service_name)``: work over capacity of a service's targets, or None.

``hosts_to_link(entry_host, agents, hosts_by_service, failure_domain_of,
own_failure_domain, settings)`` bounds the links of an entry host by a subset of each
service's targets, ``subset_of(entry_host, hosts, failure_domain_of,
own_failure_domain, size)``.
"""

from siskinthread.routing._rendezvous import (
    home_of,
    hosts_to_link,
    rank_hosts,
    subset_of,
)
from siskinthread.routing._router import Router
from siskinthread.routing._settings import RoutingSettings

__all__ = [
    "Router",
    "RoutingSettings",
    "home_of",
    "hosts_to_link",
    "rank_hosts",
    "subset_of",
]
