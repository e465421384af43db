"""Choice of a target.

Interface: ``Router(settings, own_failure_domain, view, membership, links, clock,
metrics, random)``:

- ``choose(request, excluded)``: name of a host for a `CallerRequest`, or None.  With an
  idempotency key, the key's home, whatever its state.
- ``home(service_name, idempotency_key)``: the declared home of a key, from
  ``home_of(hosts, idempotency_key)``, which the agent uses too.
- ``started(host, request)`` and ``ended(host, request, outcome, first_byte_s)``.
"""
