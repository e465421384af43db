"""Property test: under network faults, an answered exchange delivers its answer."""

from hypothesis import given, settings, strategies as st

from siskinthread.links.tests.fake_agent import (
    cut_inside,
    CutConnectionError,
    FakeAgent,
    HOST,
    peer_settings,
    start_request,
)
from siskinthread.links.tests.harness import deadline_after, drain, run, running_links
from siskinthread.outcomes import Outcome

ACTIONS = ["send", "repeat", "drop", "late", "cut_before", "cut_inside", "cut_after"]
DEADLINE_S = 0.15
# Without losses the answer must arrive, and on a busy machine this process may not run
# for longer than the short deadline.
FAULTLESS_DEADLINE_S = 5.0
FAULTLESS_ACTIONS = {"send", "repeat"}


class FaultyNetwork:
    """Applies one action to each frame of a response, and then sends without faults."""

    def __init__(self, actions):
        self.actions = list(actions)
        self.late_frames = []

    async def __call__(self, agent, channel, frame):
        action = self.actions.pop(0) if self.actions else "send"
        if action == "late":
            self.late_frames.append(frame)
            return
        if action == "cut_before":
            raise CutConnectionError
        if action == "cut_inside":
            await cut_inside(channel, frame)
        if action != "drop":
            await channel.send(frame)
        if action == "repeat":
            await channel.send(frame)
        late_frames, self.late_frames = self.late_frames, []
        await channel.send(*late_frames)
        if action == "cut_after":
            raise CutConnectionError


async def exchange_over(body, actions, window_bytes):
    """Run an exchange over a faulty network; return its `Received` and the agent."""
    network = FaultyNetwork(actions)
    limits = peer_settings(window_bytes=window_bytes, read_interval_s=0.0005)
    agent = FakeAgent(limits, body, network)
    wait_s = DEADLINE_S
    if set(actions) <= FAULTLESS_ACTIONS:
        wait_s = FAULTLESS_DEADLINE_S
    async with running_links(agent) as links:
        request = start_request(idempotency_key="key-1")
        exchange = await links.start(HOST, request, deadline_after(wait_s))
        return await drain(exchange), agent


@settings(derandomize=True, deadline=None, max_examples=80)
@given(
    body=st.binary(max_size=80),
    actions=st.lists(st.sampled_from(ACTIONS), max_size=16),
    window_bytes=st.sampled_from([1024, 16]),
)
def test_answered_means_whole(body, actions, window_bytes):
    """The bytes are a prefix of the answer, and all of it if the end is ANSWERED.

    Guards against answers that are reported as whole but have gaps, duplicate bytes or
    a missing end after frames are lost, repeated, late or out of order, or connections
    are cut, at arbitrary points.
    """
    received, agent = run(exchange_over, body, actions, window_bytes)
    assert body.startswith(received.body)
    assert agent.runs <= 1
    if received.end.outcome == Outcome.ANSWERED:
        assert received.body == body
        assert received.head.status == 200
    if set(actions) <= FAULTLESS_ACTIONS:
        assert received.end.outcome == Outcome.ANSWERED
