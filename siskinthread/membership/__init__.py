"""Who is there, by failure domain, from the host list.

Interface: ``MembershipView(settings, clock, is_connected=None)`` with ``agents()`` and
``entries()`` (dicts of host name to `HostEntry`), ``declared_entry_count()``,
``is_leaving(host)``, ``failure_domain(host)``, ``listen(callback)`` and
``replace(entries)``; ``async follow_host_list(client, view, settings, clock, metrics)``
with the `PlatformSettings`.  An outage, an empty or an implausibly short answer of the
host list never removes hosts.
"""

from siskinthread.membership._following import follow_host_list
from siskinthread.membership._settings import MembershipSettings
from siskinthread.membership._view import MembershipView

__all__ = ["MembershipSettings", "MembershipView", "follow_host_list"]
