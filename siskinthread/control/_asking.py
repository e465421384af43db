"""Chooses peers to ask for configuration records, and asks them."""

import curio

from siskinthread.configuration import Peers
from siskinthread.timing import Deadline
from siskinthread.wire import Frame

ANSWER_WAIT_S = 2.0
FIRST_LINK_WAIT_S = 1.0
START_PEER_COUNT = 3
UNKNOWN_OFFSET = -1


class LinkPeers(Peers):
    """The peers at the other ends of this process's links.

    Parameters
    ----------
    readers : ReaderChoice
        Which processes read the log.
    clock : Clock
        The process's clock.
    random : random.Random
        Breaks ties between equally suitable peers.
    questions : prometheus_client.Counter
        Counts questions by ``result``.

    Attributes
    ----------
    links : dict of object to PeerLink
        The peer of each link that is up.
    asked : list of PeerLink
        Peers asked since the list was last cleared.
    """

    __slots__ = (
        "_clock",
        "_first_link",
        "_questions",
        "_random",
        "_readers",
        "_start_deadline",
        "asked",
        "links",
    )

    def __init__(self, readers, clock, random, questions):
        self._readers = readers
        self._random = random
        self._questions = questions
        self._first_link = curio.Event()
        self._clock = clock
        self._start_deadline = None
        self.links = {}
        self.asked = []

    async def add(self, link, peer):
        """Add the peer of a link that came up."""
        self.links[link] = peer
        await self._first_link.set()

    def ahead(self, offset):
        """Return the peers that may have records after an offset."""
        return [peer for peer in self.links.values() if peer.is_ahead(offset)]

    def reads_log(self):
        """Return whether this process reads the log for its failure domain."""
        return self._readers.reads_log()

    async def ask(self, request, starting):
        """Send a `ConfigurationRequest`; return the `ConfigurationUpdate` answers."""
        if starting and not self.links:
            # Links come up within the first second.  Without this wait, a process would
            # start from a log that lost its tail without noticing and, in an outage of
            # the log, would ask no peer before a whole back-off had passed.
            await self._wait_for_first_link()
        own_offset = request.status.applied_offset
        peers = self._choose_at_start() if starting else self._choose_one(own_offset)
        self.asked += peers
        frame = Frame(configuration_request=request)
        async with curio.TaskGroup() as group:
            for peer in peers:
                await group.spawn(peer.ask, frame, ANSWER_WAIT_S)
        updates = [update for update in group.results if update is not None]
        self._questions.labels(result="answered").inc(len(updates))
        self._questions.labels(result="unanswered").inc(len(peers) - len(updates))
        return updates

    async def _wait_for_first_link(self):
        if self._start_deadline is None:
            self._start_deadline = Deadline.after(self._clock, FIRST_LINK_WAIT_S)
        await curio.ignore_after(self._start_deadline.left_s(), self._first_link.wait)

    def _choose_at_start(self):
        peers = self._shuffled(self.links.values())
        peers.sort(key=_known_offset, reverse=True)
        return peers[:START_PEER_COUNT]

    def _choose_one(self, own_offset):
        """Choose a peer: prefer one that is ahead, and among these a reader."""
        peers = self._shuffled(self.ahead(own_offset) or self._candidates())
        peers.sort(key=lambda peer: not self._readers.is_reader(peer.host))
        return peers[:1]

    def _candidates(self):
        # A peer whose last question brought nothing is silent or has diverged.
        peers = self.links.values()
        return [peer for peer in peers if peer.unproductive_offset is None] or peers

    def _shuffled(self, peers):
        peers = list(peers)
        self._random.shuffle(peers)
        return peers


def _known_offset(peer):
    return UNKNOWN_OFFSET if peer.offset is None else peer.offset
