"""Tests of the silence limit of a connection."""

import curio
import pytest

from siskinthread.control import LinkListener
from siskinthread.errors import ConnectionLostError
from siskinthread.links._metrics import LinkMetrics
from siskinthread.links._reading import Reader
from siskinthread.links._waiting import ExchangeWaiter, WakeBatch
from siskinthread.links.tests.fake_agent import peer_settings
from siskinthread.timing import ManualClock
from siskinthread.wire import Frame, Heartbeat


class BufferedChannel:
    """A channel with buffered frames, after which nothing arrives."""

    def __init__(self, frames):
        self.frames = frames

    async def receive(self):
        """Return the buffered frames, or wait for longer than the test."""
        if not self.frames:
            await curio.sleep(3600)
        frames, self.frames = self.frames, []
        return frames


class FakeLink:
    """Replaces a link whose connection isn't needed once the frames were read."""

    def __init__(self, channel):
        self.in_flight = {}
        self.metrics = LinkMetrics(None)
        self.control = LinkListener()
        self._channel = channel
        self._expects_frames = bool(channel.frames)

    def connection_is_unneeded(self):
        """Return whether the buffered frames were read."""
        return self._expects_frames and not self._channel.frames


def run_reader_after_pause(frames):
    """Advance the clock past the silence limit, and then run the reader."""
    channel = BufferedChannel(frames)
    link = FakeLink(channel)
    clock = ManualClock()
    reader = Reader(channel, link, peer_settings(read_interval_s=0), clock)
    clock.advance(10)
    curio.run(reader.run, [])


def test_paused_process_reads_before_it_judges_silence():
    """After a pause, frames in the socket are read before the link counts as silent.

    Guards against replacing all links of an entry whose process was paused for longer
    than the silence limit: when it resumes, its timers fire first, although frames of
    the agents are unread in the sockets.
    """
    run_reader_after_pause([Frame(heartbeat=Heartbeat(1))])


def test_silent_connection_is_given_up():
    """A connection is lost if there is nothing to read past its silence limit."""
    with pytest.raises(ConnectionLostError):
        run_reader_after_pause([])


def test_caller_without_a_token_is_served_first():
    """Of the tasks that one read wakes, those without any bytes yet run first.

    Guards against first tokens that are late by the time of a whole batch: a read
    brings a token for each of many streams, with the newest stream's token last, and
    the request tasks run in the order of the frames.
    """
    order = []

    async def wait_on(waiter, name):
        await waiter.wait()
        order.append(name)

    async def scenario():
        batch = WakeBatch()
        tasks = []
        for name, add in (("old", batch.add), ("new", batch.add_priority)):
            waiter = ExchangeWaiter()
            tasks.append(await curio.spawn(wait_on, waiter, name))
            add(waiter)
        await curio.sleep(0)
        await batch.wake()
        for task in tasks:
            await task.join()

    curio.run(scenario)
    assert order == ["new", "old"]
