"""Splitting of the bytes of an event stream into complete events."""

EVENT_STREAM_TYPE = "text/event-stream"
# An event ends with an empty line.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"
# Longer ids are no counters, and `int` rejects very long ones.
ID_DIGITS_LIMIT = 18


class WholeEvents:
    """Consecutive complete events.

    Parameters
    ----------
    data : bytes
        The bytes of the events.
    first_id, last_id : int or None
        First and last event id; None if no event has an id.
    is_gapless : bool
        Whether each id is the previous id plus one.
    count : int
        Number of events with an id.
    """

    __slots__ = ("count", "data", "first_id", "is_gapless", "last_id")

    def __init__(self, data, first_id, last_id, is_gapless, count):
        self.count = count
        self.data = data
        self.first_id = first_id
        self.last_id = last_id
        self.is_gapless = is_gapless


class EventSplitter:
    """Splits a stream at the ends of its events.

    A target can fail in the middle of an event.  Only complete events are passed on, so
    that another target can continue after the last one.

    Attributes
    ----------
    rest : bytes
        Bytes of the incomplete event at the end.
    """

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    def take(self, data):
        """Add bytes and return the completed `WholeEvents`, or None."""
        data = self.rest + data
        end = max(_end_behind(data, mark) for mark in EVENT_ENDS)
        self.rest = data[end:]
        if not end:
            return None
        return _read_events(data[:end])


def _end_behind(data, mark):
    """Return the offset after the last `mark`, 0 if there is none."""
    at = data.rfind(mark)
    return 0 if at < 0 else at + len(mark)


def _read_events(data):
    first_id = last_id = None
    is_gapless = True
    count = 0
    for line in data.split(b"\n"):
        if not line.startswith(ID_FIELD):
            continue
        value = line[len(ID_FIELD) :].strip()
        if not value.isdigit() or len(value) > ID_DIGITS_LIMIT:
            continue
        event_id = int(value)
        if first_id is None:
            first_id = event_id
        elif event_id != last_id + 1:
            is_gapless = False
        last_id = event_id
        count += 1
    return WholeEvents(data, first_id, last_id, is_gapless, count)
