"""Settings of connections between the system's processes."""

from siskinthread.settings import Item, KeyList, Section


class PeerSettings(Section):
    """Settings of connections between the system's processes."""

    keys = Item(
        KeyList,
        description="Shared keys as `{id, secret}`; the first key signs and every key "
        "is accepted, so that two keys are valid during a rotation.",
    )
    frame_limit_bytes = Item(
        int,
        default=4 * 1024 * 1024,
        minimum=1024,
        description="Longest frame that is accepted.",
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
        description="Silence after which a connection is closed and replaced.",
    )
    reask_limit_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Longest wait for an unreachable agent before the outcome of its "
        "requests is reported as unknown.",
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
        description="Most unacknowledged bytes in flight of one response.",
    )
