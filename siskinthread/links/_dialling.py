"""Dialling an agent, with mutual authentication and back-off."""

import random

import curio

from siskinthread.errors import HandshakeError
from siskinthread.wire import Frame, open_channel, shake_hands

AGENT_ROLE = "agent"
FIRST_REDIAL_WAIT_S = 0.05
MAX_REDIAL_WAIT_S = 1.0
BACK_OFF_DOUBLINGS_LIMIT = 10


async def dial_agent(host, address, shared):
    """Open an authenticated channel to an agent.

    Parameters
    ----------
    host : str
        Name of the agent's host.
    address : Address
        Where the agent listens.
    shared : SharedParts
        Identity and settings.

    Returns
    -------
    tuple
        The channel, and the frames that arrived together with the handshake.

    Raises
    ------
    ConnectionLostError
        If the agent can't be reached in time.
    ProtocolError
        If the handshake fails or the peer is not the agent of `host`.
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
    """Wait before the next dial, with capped exponential back-off and full jitter.

    Parameters
    ----------
    dial_failures : int
        Number of consecutive failures.

    Notes
    -----
    Without the jitter, entries that lost an agent at the same time would also dial it
    at the same time, again and again.
    """
    doubled = FIRST_REDIAL_WAIT_S * 2 ** min(dial_failures, BACK_OFF_DOUBLINGS_LIMIT)
    await curio.sleep(random.uniform(0, min(doubled, MAX_REDIAL_WAIT_S)))


def _check_peer(hello, host):
    # An address may be reassigned to another host before the host list shows it.
    # Without this check, requests would run on the wrong target, and requests with a
    # key would run on a host that is not their home.
    if hello.role != AGENT_ROLE or hello.host != host:
        raise HandshakeError(f"{hello.role} {hello.host} answered for {host}")
