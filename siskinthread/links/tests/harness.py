"""Runs a fake agent and the links of an entry in one curio kernel."""

import contextlib

import curio

from siskinthread.links import AgentLinks
from siskinthread.links.tests.fake_agent import HOST
from siskinthread.outcomes import End, Head
from siskinthread.timing import Deadline, SYSTEM_CLOCK
from siskinthread.wire import Identity

REQUEST_DEADLINE_S = 5.0
TEST_LIMIT_S = 20.0


def deadline_after(wait_s=REQUEST_DEADLINE_S):
    """Return a deadline on the system clock."""
    return Deadline.after(SYSTEM_CLOCK, wait_s)


@contextlib.asynccontextmanager
async def running_links(agent, settings=None, metrics=None):
    """Run a fake agent and links to it; yields the `AgentLinks`."""
    identity = Identity("entry-1", "domain-a", "entry")
    links = AgentLinks(identity, settings or agent.settings, SYSTEM_CLOCK, metrics)
    links.reconcile({HOST: agent.address})
    tasks = [await curio.spawn(agent.run), await curio.spawn(links.run)]
    try:
        yield links
    finally:
        for task in tasks:
            await task.cancel()


async def wait_connected(links):
    """Wait until the link to the fake agent is connected."""
    assert await links.wait_until_connected(deadline_after())


class Received:
    """The head, body and end that an exchange returned."""

    def __init__(self):
        self.head = None
        self.body = b""
        self.end = None


async def drain(exchange):
    """Receive all events of an exchange and check that the body has no gaps.

    Returns
    -------
    Received
    """
    received = Received()
    while received.end is None:
        event = await exchange.next_event()
        if isinstance(event, End):
            received.end = event
        elif isinstance(event, Head):
            assert received.head is None
            received.head = event
        else:
            assert received.head is not None
            assert event.offset_bytes == len(received.body)
            received.body += event.data
    return received


def run(test, *arguments):
    """Run the coroutine function of a test with a time limit."""
    return curio.run(curio.timeout_after, TEST_LIMIT_S, test, *arguments)
