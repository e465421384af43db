"""Gossip between entry hosts over UDP: loads, versions and the state of targets.

A near peer runs in the same failure domain as this process, a far peer in another one.

Interface: ``PeerGossip(settings, address, failure_domain, first_peers, clock, random)``
with ``async run()``, ``counts(instance_id)``, ``newest_version()``,
``informed_peers()``, ``is_reader()`` and ``async send_to_domain()``.  The owner sets
``describe`` to a callable that returns the `HostState` of this process, and these
callbacks for the contents of received messages:

- ``on_listing``, a coroutine function, for each `ListStatement`;
- ``on_reading``, a coroutine function, for each `TableReading` of a reader of the own
  failure domain;
- ``on_backoffs`` and ``on_leaving`` for what targets have announced to peers;
- ``on_outages`` for group states that peers have observed;
- ``on_evacuations`` for each peer's `EvacuationStatement`, or None.

``is_table_reader(count)`` returns whether this process reads the configuration for its
failure domain.
"""

from siskinthread.peer_news._evacuations import EvacuationStatement
from siskinthread.peer_news._message import (
    HostState,
    LeavingStatement,
    ListStatement,
    PeerMessage,
)
from siskinthread.peer_news._outages import GroupOutageStatement
from siskinthread.peer_news._peers import PeerGossip
from siskinthread.peer_news._settings import PeerGossipSettings
from siskinthread.peer_news._table_reading import SuspectsReading, TableReading

__all__ = [
    "GroupOutageStatement",
    "EvacuationStatement",
    "HostState",
    "LeavingStatement",
    "ListStatement",
    "PeerMessage",
    "PeerGossip",
    "PeerGossipSettings",
    "SuspectsReading",
    "TableReading",
]
