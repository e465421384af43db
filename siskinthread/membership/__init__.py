"""Membership of the fleet by role and failure domain, read from the host list.

Interface: ``MembershipView(settings, clock, is_connected=None)`` with ``agents()`` and
``entries()`` (dicts of host name to `HostEntry`), ``entry_host_count()``,
``is_leaving(host)``, ``failure_domain(host)``, ``listen(callback)`` and
``replace(entries)``; ``async follow_host_list(client, view, settings, clock, metrics)``
with the `PlatformSettings`.  An outage of the host list, an empty list or an
implausibly short list never removes a host that has a live link.
"""

from siskinthread.membership._following import follow_host_list
from siskinthread.membership._settings import MembershipSettings
from siskinthread.membership._view import MembershipView

__all__ = ["MembershipSettings", "MembershipView", "follow_host_list"]
