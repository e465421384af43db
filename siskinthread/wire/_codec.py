"""Encodes and decodes frames."""

import struct
import threading
from io import BytesIO

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import (
    CReadableTransport,
    TTransportBase,
)

from siskinthread.errors import ProtocolError

LENGTH = struct.Struct(">I")


class _Encoder(threading.local):
    """Encodes frames with one protocol object for each thread.

    Creating the protocol object takes longer than encoding a small frame.
    """

    def __init__(self):
        self._transport = _WrittenBytes()
        self._protocol = TCompactProtocolAccelerated(self._transport)

    def encode(self, frame):
        """Return the bytes of a frame without its length prefix."""
        chunks = self._transport.chunks
        # An earlier frame that failed to encode may have left its first bytes.
        chunks.clear()
        frame.write(self._protocol)
        return b"".join(chunks)


class _WrittenBytes(TTransportBase):
    """Collects the bytes that thrift's writers write."""

    def __init__(self):
        self.chunks = []

    def write(self, data):
        """Collect bytes."""
        self.chunks.append(data)


_ENCODER = _Encoder()


def encode_frame(frame):
    """Return the bytes of one frame with its length prefix.

    Parameters
    ----------
    frame : thrift union
        A union with exactly one field set.

    Returns
    -------
    bytes
    """
    body = _ENCODER.encode(frame)
    return LENGTH.pack(len(body)) + body


def message_of(frame):
    """Return the value of the field of a union that is set, or None."""
    for name in frame.__slots__:
        message = getattr(frame, name)
        if message is not None:
            return message
    return None


class FrameDecoder:
    """Splits a byte stream into frames.

    Parameters
    ----------
    frame_class : type
        Class of the thrift union that the peer sends.
    frame_limit_bytes : int
        Longest frame that is accepted.  Without this limit, a single damaged length
        would make this side wait for and store up to 4 GiB.

    Notes
    -----
    Frames are read in place from the received bytes, with one protocol object for the
    lifetime of the decoder.  Slicing out each frame and creating a protocol object for
    it took longer than reading the frame.
    """

    __slots__ = (
        "_chunks",
        "_frame_class",
        "_frame_limit_bytes",
        "_kept_bytes",
        "_needed_bytes",
        "_protocol",
        "_transport",
    )

    def __init__(self, frame_class, frame_limit_bytes):
        self._frame_class = frame_class
        self._frame_limit_bytes = frame_limit_bytes
        self._chunks = []
        self._kept_bytes = 0
        self._needed_bytes = 0
        self._transport = _ReceivedBytes()
        # A string or list can't be larger than its frame.  Without these limits, a few
        # bytes that declare a list of 2e9 items, possibly from an unauthenticated peer,
        # would make the reader allocate the list before it finds the items missing.
        self._protocol = TCompactProtocolAccelerated(
            self._transport,
            string_length_limit=frame_limit_bytes,
            container_length_limit=frame_limit_bytes,
        )

    def feed(self, data):
        """Add received bytes and return the frames that are now complete.

        Parameters
        ----------
        data : bytes
            The next bytes of the stream.

        Returns
        -------
        list of frame_class

        Raises
        ------
        ProtocolError
            If a length exceeds the limit or a frame can't be decoded.
        """
        if self._chunks:
            self._keep(data)
            if self._kept_bytes < self._needed_bytes:
                return []
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._kept_bytes = 0
        return self._cut(data)

    def _keep(self, data):
        self._chunks.append(data)
        self._kept_bytes += len(data)

    def _cut(self, data):
        frames = []
        stream = BytesIO(data)
        self._transport.cstringio_buf = stream
        received_bytes = len(data)
        start = 0
        needed_bytes = LENGTH.size
        while start + LENGTH.size <= received_bytes:
            (length,) = LENGTH.unpack_from(data, start)
            if length > self._frame_limit_bytes:
                raise ProtocolError(f"frame of {length} bytes is over the limit")
            stop = start + LENGTH.size + length
            if stop > received_bytes:
                needed_bytes = LENGTH.size + length
                break
            stream.seek(start + LENGTH.size)
            frames.append(self._read_frame())
            if stream.tell() != stop:
                raise ProtocolError("a frame is shorter or longer than it says")
            start = stop
        if start < received_bytes:
            self._needed_bytes = needed_bytes
            self._keep(data[start:])
        return frames

    def _read_frame(self):
        frame = self._frame_class()
        try:
            frame.read(self._protocol)
        except Exception as error:
            # On damaged input, the generated readers raise many unrelated exceptions
            # (EOFError, UnicodeDecodeError, TypeError, TProtocolException).  All mean
            # the same here; an exception that is not converted would end the task of
            # the connection without a reason for the peer.
            raise ProtocolError(f"unreadable frame: {error!r}") from error
        return frame


class _ReceivedBytes(TTransportBase, CReadableTransport):
    """Source of received bytes for thrift's readers in C and Python."""

    cstringio_buf = None

    def read(self, size_bytes):
        """Return up to `size_bytes` bytes."""
        return self.cstringio_buf.read(size_bytes)

    def cstringio_refill(self, partial, size_bytes):
        """Raise EOFError, because the frame has no more bytes."""
        raise EOFError
