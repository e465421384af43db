"""Tests of the silence limit of a connection."""

import curio
import pytest

from siskinthread.control import LinkListener
from siskinthread.errors import ConnectionLostError
from siskinthread.links._metrics import LinkMetrics
from siskinthread.links._reading import Reader
from siskinthread.links._waiting import WaitingPlace, WakeBatch
from siskinthread.links.tests.fake_agent import peer_settings
from siskinthread.timing import ManualClock
from siskinthread.wire import Frame, Heartbeat


class BufferedChannel:
    """A channel whose frames are there already; then nothing comes."""

    def __init__(self, frames):
        self.frames = frames

    async def receive(self):
        """Return the buffered frames, or wait for good."""
        if not self.frames:
            await curio.sleep(3600)
        frames, self.frames = self.frames, []
        return frames


class LinkWithoutRequests:
    """Stands in for a link; its connection isn't needed once a frame was read."""

    def __init__(self, channel):
        self.in_flight = {}
        self.metrics = LinkMetrics(None)
        self.control = LinkListener()
        self._channel = channel
        self._expects_frames = bool(channel.frames)

    def connection_is_unneeded(self):
        """Return whether the buffered frames were read."""
        return self._expects_frames and not self._channel.frames


def read_after_pause(frames):
    """Let the silence limit pass at once, and then let the reader run."""
    channel = BufferedChannel(frames)
    link = LinkWithoutRequests(channel)
    clock = ManualClock()
    reader = Reader(channel, link, peer_settings(read_interval_s=0), clock)
    clock.advance(10)
    curio.run(reader.run, [])


def test_paused_process_reads_before_it_judges_silence():
    """Frames that wait in the socket count as heard after a pause of this process.

    Symptom: after a pause of an entry all of its links are replaced at once.  Sequence:
    the process is stopped for longer than the silence limit while the agents go on
    sending; it wakes, and its timers come first.  Cause: the deadline passed although
    the signs of life lie unread in the socket.
    """
    read_after_pause([Frame(heartbeat=Heartbeat(1))])


def test_silent_connection_is_given_up():
    """A connection with nothing to read past its silence limit is lost."""
    with pytest.raises(ConnectionLostError):
        read_after_pause([])


def test_caller_without_a_token_is_served_first():
    """Of the requests with news in one read, those that had nothing go first.

    Symptom: first tokens come late by the time that a whole batch takes.  Sequence: a
    read brings a token for each of many streams, the newest stream's last.  Cause: the
    request tasks run in the order of the frames.
    """
    order = []

    async def wait_in(place, name):
        await place.wait()
        order.append(name)

    async def scenario():
        batch = WakeBatch()
        tasks = []
        for name, add in (("old", batch.add), ("new", batch.add_first)):
            place = WaitingPlace()
            tasks.append(await curio.spawn(wait_in, place, name))
            add(place)
        await curio.sleep(0)
        await batch.wake()
        for task in tasks:
            await task.join()

    curio.run(scenario)
    assert order == ["new", "old"]
