"""Mutual authentication with a shared key.

Each side sends `Hello` with a fresh nonce, then `Proof`, an HMAC over both hellos.  The
signed bytes include the signer's side, dialler or listener, so that a proof can't be
reflected to its sender.  Otherwise an attacker without the key could answer a challenge
by opening a second connection and copying the answer received on it.
"""

import hashlib
import hmac
import secrets

import curio

from siskinthread.errors import ConnectionLostError, HandshakeError
from siskinthread.wire._codec import encode_frame
from siskinthread.wire._generated.frames.ttypes import Frame, Hello, Proof

PROTOCOL_VERSION = 1
NONCE_SIZE_BYTES = 16
DIALLER = b"dialler"
LISTENER = b"listener"


class Identity:
    """Identity of this process towards its peers.

    Parameters
    ----------
    host : str
        Name of the host in the host list.
    failure_domain : str
        Failure domain of the host.
    role : str
        "entry", "agent" or "operator".
    services : list of str
        Services whose requests an agent executes.
    incarnation : str or None
        Identifier of this run of the process; None for a random one.
    """

    __slots__ = ("failure_domain", "host", "incarnation", "role", "services")

    def __init__(self, host, failure_domain, role, services=(), incarnation=None):
        self.host = host
        self.failure_domain = failure_domain
        self.role = role
        self.services = list(services)
        self.incarnation = incarnation or secrets.token_hex(8)

    def hello(self):
        """Return a `Hello` with a fresh nonce."""
        return Hello(
            protocol_version=PROTOCOL_VERSION,
            host=self.host,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            role=self.role,
            nonce=secrets.token_bytes(NONCE_SIZE_BYTES),
            services=self.services,
        )


async def shake_hands(channel, identity, settings, dialled):
    """Authenticate both ends of a new channel.

    Parameters
    ----------
    channel : Channel
        A channel on which nothing has been sent or received.
    identity : Identity
        Identity of this process.
    settings : PeerSettings
        Keys and timeouts.
    dialled : bool
        True on the side that opened the connection.

    Returns
    -------
    tuple
        The peer's `Hello`, and the list of frames that arrived directly after the
        handshake.

    Raises
    ------
    HandshakeError
        If the peer has no common key or another protocol version.
    ConnectionLostError
        If the connection ended or the handshake took too long.
    """
    try:
        return await curio.timeout_after(
            settings.handshake_wait_s,
            _shake_hands,
            channel,
            identity,
            settings,
            dialled,
        )
    except curio.TaskTimeout as error:
        raise ConnectionLostError("handshake took too long") from error


async def _shake_hands(channel, identity, settings, dialled):
    own_hello = identity.hello()
    await channel.send(Frame(hello=own_hello))
    frames = await _receive_at_least_one(channel, [])
    peer_hello = frames.pop(0).hello
    _check_hello(peer_hello)
    own_side, peer_side = (DIALLER, LISTENER) if dialled else (LISTENER, DIALLER)
    signing_key = settings.keys[0]
    digest = _digest(signing_key.secret, own_side, own_hello, peer_hello)
    await channel.send(Frame(proof=Proof(key_id=signing_key.id, digest=digest)))
    frames = await _receive_at_least_one(channel, frames)
    proof = frames.pop(0).proof
    _check_proof(proof, settings.keys, peer_side, peer_hello, own_hello)
    channel.peer_hello = peer_hello
    return peer_hello, frames


async def _receive_at_least_one(channel, frames):
    while not frames:
        frames = await channel.receive()
    return frames


def _check_hello(hello):
    if hello is None or None in (hello.host, hello.incarnation, hello.nonce):
        raise HandshakeError("the first frame is no hello")
    if hello.protocol_version != PROTOCOL_VERSION:
        raise HandshakeError(f"protocol version {hello.protocol_version} is unknown")


def _check_proof(proof, keys, peer_side, peer_hello, own_hello):
    if proof is None or not isinstance(proof.digest, bytes):
        raise HandshakeError("the second frame is no proof")
    for key in keys:
        expected = _digest(key.secret, peer_side, peer_hello, own_hello)
        if key.id == proof.key_id and hmac.compare_digest(expected, proof.digest):
            return
    raise HandshakeError("the proof fits no key")


def _digest(secret, side, signer_hello, other_hello):
    message = b"".join(
        [
            side,
            encode_frame(Frame(hello=signer_hello)),
            encode_frame(Frame(hello=other_hello)),
        ]
    )
    return hmac.new(secret.encode(), message, hashlib.sha256).digest()
