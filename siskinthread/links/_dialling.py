"""Dial an agent and authenticate both ends."""

import random

import curio

from siskinthread.errors import HandshakeError
from siskinthread.wire import Frame, open_channel, shake_hands

AGENT_ROLE = "agent"
FIRST_REDIAL_WAIT_S = 0.05
LONGEST_REDIAL_WAIT_S = 1.0
DOUBLINGS_LIMIT = 10


async def dial_agent(host, address, shared):
    """Open an authenticated channel to an agent.

    Parameters
    ----------
    host : str
        Name of the agent's host.
    address : Address
        Where it listens.
    shared : SharedParts
        Identity and settings.

    Returns
    -------
    tuple
        The channel, and the frames that arrived right behind the handshake.

    Raises
    ------
    ConnectionLostError
        If the agent can't be reached in time.
    ProtocolError
        If the peer is not that agent.
    """
    settings = shared.settings
    channel = await open_channel(
        address.host,
        address.port,
        Frame,
        settings.frame_limit_bytes,
        settings.dial_wait_s,
    )
    try:
        hello, frames = await shake_hands(
            channel, shared.identity, settings, dialled=True
        )
        _check_peer(hello, host)
    except BaseException:
        await channel.close()
        raise
    return channel, frames


async def back_off(dial_failures):
    """Wait before the next dial, longer after each failure in a row, within a bound.

    Notes
    -----
    The full range is drawn from: entries that lost an agent at the same moment would
    else dial it at the same moment too, again and again.
    """
    doubled = FIRST_REDIAL_WAIT_S * 2 ** min(dial_failures, DOUBLINGS_LIMIT)
    await curio.sleep(random.uniform(0, min(doubled, LONGEST_REDIAL_WAIT_S)))


def _check_peer(hello, host):
    # An address may be given to another host before the host list shows it.  Requests
    # for this host would run on the wrong target, and those with a key beside their
    # home.
    if hello.role != AGENT_ROLE or hello.host != host:
        raise HandshakeError(f"{hello.role} {hello.host} answered for {host}")
