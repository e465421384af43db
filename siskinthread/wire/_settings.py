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
    window_bytes = Item(
        int,
        default=256 * 1024,
        minimum=1024,
        description="Bytes of one response that may be under way unacknowledged.",
    )
