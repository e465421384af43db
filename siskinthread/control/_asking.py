"""Whom to ask for records, and asking them."""

import curio

from siskinthread.configuration import Peers
from siskinthread.timing import Deadline
from siskinthread.wire import Frame

ANSWER_WAIT_S = 2.0
FIRST_LINK_WAIT_S = 1.0
ASKED_AT_START = 3
UNKNOWN_OFFSET = -1


class LinkPeers(Peers):
    """The peers at the other ends of this process's links.

    Parameters
    ----------
    readers : ReaderChoice
        Who reads the log.
    clock : Clock
        The process's clock.
    random : random.Random
        Chooses among equal peers.
    questions : prometheus_client.Counter
        Counts by ``result``.

    Attributes
    ----------
    links : dict of object to PeerLink
        Present links.
    asked : list of PeerLink
        Peers that were asked since it was last cleared.
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
        """Take on a link."""
        self.links[link] = peer
        await self._first_link.set()

    def ahead(self, offset):
        """Return the peers that may have records behind an offset."""
        return [peer for peer in self.links.values() if peer.is_ahead(offset)]

    def reads_log(self):
        """Return whether this process reads the log for the others."""
        return self._readers.reads_log()

    async def ask(self, request, starting):
        """Send a `ConfigurationRequest`; return the `ConfigurationUpdate` answers."""
        if starting and not self.links:
            # Links come up within the first second.  A process that didn't wait would
            # take a log that lost its tail for the truth, and in an outage would sit
            # through a whole back-off before it asked anybody.
            await self._wait_for_first_link()
        own_offset = request.status.applied_offset
        peers = self._at_start() if starting else self._one(own_offset)
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

    def _at_start(self):
        peers = self._shuffled(self.links.values())
        peers.sort(key=_known_offset, reverse=True)
        return peers[:ASKED_AT_START]

    def _one(self, own_offset):
        """Choose a peer: one that is ahead, else a reader, else any."""
        peers = self._shuffled(self.ahead(own_offset) or self._promising())
        peers.sort(key=lambda peer: not self._readers.is_reader(peer.host))
        return peers[:1]

    def _promising(self):
        # A peer whose last answer brought nothing is of another history, or silent.
        peers = self.links.values()
        return [peer for peer in peers if peer.fruitless_offset is None] or peers

    def _shuffled(self, peers):
        peers = list(peers)
        self._random.shuffle(peers)
        return peers


def _known_offset(peer):
    return UNKNOWN_OFFSET if peer.offset is None else peer.offset
