"""What entry hosts tell one another by datagrams: loads, and how new their news are.

Interface: ``PeerNews(settings, address, first_peers, clock)`` with ``async run()``,
``counts(instance_id)``, ``newest_version()`` and ``informed_peers()``; ``describe`` is
set to a callable that tells the state of this process.
"""

from siskinthread.peer_news._news import News
from siskinthread.peer_news._peers import PeerNews
from siskinthread.peer_news._settings import PeerNewsSettings

__all__ = ["News", "PeerNews", "PeerNewsSettings"]
