"""One datagram of news."""

import json

from siskinthread.errors import ProtocolError
from siskinthread.settings import Address


class News:
    """What one entry host tells the others.

    JSON rather than the frames of `siskinthread.wire`: those classes would take 1.6 MB
    more in a process that uses nothing else of them (peak resident size).

    Parameters
    ----------
    sender : siskinthread.settings.Address
        Where the sender takes news.
    table_version : int
        Version of the configuration in force there; 0 without one.
    is_informed : bool
        Whether the sender has fresh news of the configuration and the targets itself.
    counts : dict of str to int
        The sender's own requests by target.
    peers : list of siskinthread.settings.Address
        Other entry hosts that the sender knows.
    """

    __slots__ = ("counts", "is_informed", "peers", "sender", "table_version")

    def __init__(self, sender, table_version, is_informed, counts, peers):
        self.sender = sender
        self.table_version = table_version
        self.is_informed = is_informed
        self.counts = counts
        self.peers = peers

    def encode(self):
        """Return the datagram."""
        document = {
            "sender": str(self.sender),
            "version": self.table_version,
            "informed": self.is_informed,
            "counts": self.counts,
            "peers": [str(peer) for peer in self.peers],
        }
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data):
        """Return the news of a datagram.

        Raises
        ------
        ProtocolError
            If it holds none.
        """
        try:
            document = json.loads(data)
            return cls(
                Address.parse(document["sender"]),
                int(document["version"]),
                bool(document["informed"]),
                {str(one): int(n) for one, n in document["counts"].items()},
                [Address.parse(peer) for peer in document["peers"]],
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ProtocolError(f"unreadable news: {error!r}") from error
