"""Buffer for the bytes of one response that may still be needed."""


class StreamBuffer:
    """Bytes of a stream from a base offset up to its current end.

    Parameters
    ----------
    base_bytes : int
        Offset of the first byte.
    """

    __slots__ = ("_data", "base_bytes")

    def __init__(self, base_bytes=0):
        self.base_bytes = base_bytes
        self._data = bytearray()

    @property
    def end_bytes(self):
        """Offset after the last byte."""
        return self.base_bytes + len(self._data)

    @property
    def size_bytes(self):
        """Number of bytes in the buffer."""
        return len(self._data)

    def append(self, data):
        """Append the next bytes of the stream."""
        self._data += data

    def read(self, offset_bytes, limit_bytes):
        """Return up to `limit_bytes` bytes from an offset inside the buffer."""
        start = offset_bytes - self.base_bytes
        return bytes(self._data[start : start + limit_bytes])

    def discard_before(self, offset_bytes):
        """Discard the bytes before an offset, which is clipped to the buffer."""
        count = min(offset_bytes - self.base_bytes, len(self._data))
        if count > 0:
            del self._data[:count]
            self.base_bytes += count
