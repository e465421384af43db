"""Requests under which targets end, and that must not be sent to any more of them.

Interface: ``fingerprint(host, path, caller, body)`` names a request by what its
caller's new tries have in common.
"""

from siskinthread.poison_requests._fingerprint import fingerprint

__all__ = ["fingerprint"]
