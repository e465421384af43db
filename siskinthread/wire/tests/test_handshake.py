"""Tests of the mutual authentication of a new connection."""

import curio
import pytest

from siskinthread.errors import ConnectionLostError, HandshakeError, ProtocolError
from siskinthread.settings import Key
from siskinthread.wire import (
    Channel,
    Frame,
    FrameDecoder,
    Identity,
    PeerSettings,
    Proof,
    shake_hands,
)

FRAME_LIMIT_BYTES = 4096
TEST_LIMIT_S = 10.0
OLD_KEY = Key("old", "the old secret")
NEW_KEY = Key("new", "the new secret")
ENTRY = Identity("entry-1", "domain-a", "entry")
AGENT = Identity("agent-1", "domain-b", "agent", ["triage-llm"])


def settings_with(*keys, handshake_wait_s=5.0):
    """Return settings with the given keys."""
    return PeerSettings(keys=list(keys), handshake_wait_s=handshake_wait_s)


def channel_over(socket):
    """Return a channel over one end of a socket pair."""
    return Channel(socket, Frame, FRAME_LIMIT_BYTES)


async def connected_sockets():
    """Return both ends of a TCP connection over loopback."""
    async with curio.tcp_server_socket("127.0.0.1", 0) as listener:
        dialling = await curio.open_connection(*listener.getsockname())
        listening, _ = await listener.accept()
    return dialling, listening


def run_handshake(dialler_settings, listener_settings):
    """Run the handshake on both sides and return the result or error of each."""

    async def main():
        dialling, listening = await connected_sockets()
        async with dialling, listening:
            sides = [
                (channel_over(dialling), ENTRY, dialler_settings, True),
                (channel_over(listening), AGENT, listener_settings, False),
            ]
            tasks = [await curio.spawn(outcome_of_side, *side) for side in sides]
            return [await task.join() for task in tasks]

    return curio.run(curio.timeout_after, TEST_LIMIT_S, main)


async def outcome_of_side(channel, identity, settings, dialled):
    """Return the peer's hello or the error; an error shuts the connection down."""
    try:
        hello, _ = await shake_hands(channel, identity, settings, dialled)
    except (ConnectionLostError, ProtocolError) as error:
        await channel.shut_down()
        return error
    return hello


def handshake_with(peer, handshake_wait_s=5.0):
    """Run the handshake of an entry with a scripted peer.

    Parameters
    ----------
    peer : callable
        ``async peer(socket)`` acts as the other side and returns the bytes it received.

    Returns
    -------
    tuple
        The entry's result or error, and all frames that the entry sent.
    """

    async def main():
        dialling, listening = await connected_sockets()
        own = settings_with(NEW_KEY, handshake_wait_s=handshake_wait_s)
        async with dialling, listening:
            task = await curio.spawn(
                outcome_of_side, channel_over(dialling), ENTRY, own, True
            )
            written = await peer(listening)
            outcome = await task.join()
            await dialling.shutdown(curio.socket.SHUT_WR)
            while data := await listening.recv(65536):
                written += data
            return outcome, FrameDecoder(Frame, FRAME_LIMIT_BYTES).feed(written)

    return curio.run(curio.timeout_after, TEST_LIMIT_S, main)


def test_peers_with_a_common_key_know_each_other():
    """Each side receives the other's host, role and services."""
    agent_hello, entry_hello = run_handshake(
        settings_with(NEW_KEY), settings_with(NEW_KEY)
    )
    assert (agent_hello.host, agent_hello.role) == ("agent-1", "agent")
    assert agent_hello.services == ["triage-llm"]
    assert (entry_hello.host, entry_hello.role) == ("entry-1", "entry")


@pytest.mark.parametrize(
    ("dialler_keys", "listener_keys"),
    [
        ([OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY]),
        ([OLD_KEY], [OLD_KEY, NEW_KEY]),
        ([NEW_KEY, OLD_KEY], [NEW_KEY]),
    ],
)
def test_two_keys_are_valid_while_they_rotate(dialler_keys, listener_keys):
    """Every key of a list is accepted, whichever key signs."""
    results = run_handshake(settings_with(*dialler_keys), settings_with(*listener_keys))
    assert [result.host for result in results] == ["agent-1", "entry-1"]


def test_wrong_key_is_refused_by_both_sides():
    """Peers without a common key refuse each other, even with the same key id."""
    forged = Key(NEW_KEY.id, "a guess")
    errors = run_handshake(settings_with(NEW_KEY), settings_with(forged))
    assert any(isinstance(error, HandshakeError) for error in errors)
    assert not any(hasattr(error, "host") for error in errors)


def test_mirrored_proof_is_refused():
    """A peer that sends an entry's own hello and proof back is refused.

    An unauthenticated peer echoes all bytes of the entry, so that hello, nonce and
    proof are consistent.  If a proof didn't state which side signed it, the peer would
    be accepted as an agent.
    """

    async def mirror(socket):
        written = b""
        for _ in ("hello", "proof"):
            data = await socket.recv(65536)
            written += data
            await socket.sendall(data)
        return written

    outcome, frames = handshake_with(mirror)
    assert isinstance(outcome, HandshakeError)
    assert_nothing_but_handshake(frames)


def test_wrong_version_is_refused():
    """A peer with an unknown protocol version is refused before a proof is sent."""

    async def newer(socket):
        written = await socket.recv(65536)
        hello = AGENT.hello()
        hello.protocol_version = 99
        await channel_over(socket).send(Frame(hello=hello))
        return written

    outcome, frames = handshake_with(newer)
    assert isinstance(outcome, HandshakeError)
    assert "99" in str(outcome)
    assert [frame.hello is not None for frame in frames] == [True]


def test_peer_that_says_nothing_is_given_up():
    """A peer that accepts and sends nothing is dropped after the handshake timeout."""

    async def silent(socket):
        return await socket.recv(65536)

    outcome, frames = handshake_with(silent, handshake_wait_s=0.02)
    assert isinstance(outcome, ConnectionLostError)
    assert_nothing_but_handshake(frames)


@pytest.mark.parametrize(
    "garbage",
    [
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        b"\x00\x00\x00\x00",
        b"\x00\x00\x00\x03abc",
        b"\xff" * 64,
    ],
)
def test_garbage_is_refused(garbage):
    """Bytes that are not a hello end the handshake with a protocol error."""

    async def garbler(socket):
        written = await socket.recv(65536)
        await socket.sendall(garbage)
        return written

    outcome, frames = handshake_with(garbler)
    assert isinstance(outcome, ProtocolError)
    assert_nothing_but_handshake(frames)


@pytest.mark.parametrize("proof", [Proof(), Proof("new", b""), Proof("new", b"x" * 32)])
def test_forged_proof_is_refused(proof):
    """A proof without a digest or with a wrong digest is refused."""

    async def forger(socket):
        written = await socket.recv(65536)
        frames = [Frame(hello=AGENT.hello()), Frame(proof=proof)]
        await channel_over(socket).send(*frames)
        return written

    outcome, frames = handshake_with(forger)
    assert isinstance(outcome, HandshakeError)
    assert_nothing_but_handshake(frames)


def assert_nothing_but_handshake(frames):
    """Check that an unknown peer received no frame other than hello and proof."""
    assert len(frames) <= 2
    assert all(frame.hello or frame.proof for frame in frames)
