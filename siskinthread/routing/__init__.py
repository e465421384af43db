"""Choice of a target.

``Router(settings, own_failure_domain, view, membership, links, clock, metrics,
random)``:

- ``choose(request, excluded)`` returns the name of a host for a `CallerRequest`, or
  None.  With an idempotency key, this is the key's home, whatever its state.
- ``home(service_name, idempotency_key, issued_at_ms)`` returns the declared home of a
  key, from ``home_of(hosts, idempotency_key)``, which the agent uses too.
- ``started(host, request)`` and ``ended(host, request, outcome, first_byte_s)`` report
  attempts.
- ``first_byte(host, request, first_byte_s)`` reports the first byte when it arrives;
  without this call the router detects a slow target only when streams end, and a
  stalled one only from its agent.
- ``service_load(service_name)`` returns the work of a service's targets divided by
  their capacity, or None.

``hosts_to_link(entry_host, agents, hosts_by_service, failure_domain_of,
own_failure_domain, settings)`` limits the links of an entry host to a subset of each
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
