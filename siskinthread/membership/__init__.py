"""Who is there, by failure domain, from the host list.

Interface: ``MembershipView`` with ``agents()`` and ``entries()`` (dicts of host name to
`HostEntry`), ``is_leaving(host)``, ``failure_domain(host)``, ``listen(callback)`` and
``replace(entries)``; ``async follow_host_list(client, view, settings)``.  An outage or
an empty answer of the host list never removes a host.
"""
