"""The bytes of one response that are still wanted."""


class StreamBuffer:
    """Bytes of a stream from a base offset up to its present end.

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
        """Offset behind the last byte."""
        return self.base_bytes + len(self._data)

    @property
    def size_bytes(self):
        """Number of bytes that are held."""
        return len(self._data)

    def append(self, data):
        """Add the next bytes of the stream."""
        self._data += data

    def read(self, offset_bytes, limit_bytes):
        """Return up to `limit_bytes` bytes from an offset that is held."""
        start = offset_bytes - self.base_bytes
        return bytes(self._data[start : start + limit_bytes])

    def free(self, offset_bytes):
        """Drop the bytes before an offset; one outside the buffer is brought inside."""
        count = min(offset_bytes - self.base_bytes, len(self._data))
        if count > 0:
            del self._data[:count]
            self.base_bytes += count
