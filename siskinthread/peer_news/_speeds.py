"""Exchange of target speeds between entry hosts."""

from siskinthread.load_control import slowest, SpeedStatement

# Limit of targets in a datagram: some 1.5 KB of its 8 KB.
SPEEDS_LIMIT = 24


def encode_speeds(speeds):
    """Return the rows of a datagram by target, of the slowest targets."""
    selected = slowest(speeds, SPEEDS_LIMIT)
    return {instance_id: one.as_row() for instance_id, one in selected.items()}


def decode_speeds(rows):
    """Return the `SpeedStatement` by target.

    Raises
    ------
    TypeError, ValueError, AttributeError
        If the rows are unreadable.
    """
    return {
        str(instance_id): SpeedStatement.from_row(row)
        for instance_id, row in rows.items()
    }


class ReceivedSpeeds:
    """Speeds that several hosts have sent, with the time of receipt."""

    __slots__ = ("_received",)

    def __init__(self):
        self._received = []

    def add(self, speeds, received_at_s):
        """Add a host's `SpeedStatement` by target, received at a monotonic time."""
        if speeds:
            self._received.append((received_at_s, speeds))

    def at(self, now_s):
        """Return the sums by target, aged to a time in monotonic seconds."""
        sums = {}
        for received_at_s, speeds in self._received:
            by_s = max(0.0, now_s - received_at_s)
            for instance_id, one in speeds.items():
                aged = one.aged(by_s)
                known = sums.get(instance_id)
                sums[instance_id] = aged if known is None else known.plus(aged)
        return sums
