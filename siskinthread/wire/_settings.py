"""Settings of connections between the system's processes."""

from siskinthread.settings import Item, KeyList, Section


class PeerSettings(Section):
    """Connections between the system's processes."""

    keys = Item(
        KeyList,
        description="Shared keys as `{id, secret}`; the first one signs, every one is "
        "accepted, so that two are valid while keys rotate.",
    )
    frame_limit_bytes = Item(
        int, default=4 * 1024 * 1024, minimum=1024, description="Longest frame."
    )
    dial_wait_s = Item(
        float, default=1.0, minimum=0.01, description="Longest wait for a connection."
    )
    handshake_wait_s = Item(
        float, default=2.0, minimum=0.01, description="Longest wait for a handshake."
    )
    heartbeat_interval_s = Item(
        float, default=1.0, minimum=0.01, description="Time between heartbeats."
    )
    silence_limit_s = Item(
        float,
        default=3.0,
        minimum=0.02,
        description="Silence after which a connection is given up and replaced.",
    )
    reask_limit_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Longest wait for an agent out of reach before the outcome of its "
        "requests is given as unknown.",
    )
    read_interval_s = Item(
        float,
        default=0.0,
        minimum=0.0,
        description="Shortest time between two reads of one connection; small frames "
        "that arrive meanwhile are handled together, which saves processor time.",
    )
    window_bytes = Item(
        int,
        default=256 * 1024,
        minimum=1024,
        description="Bytes of one response that may be under way unacknowledged.",
    )
