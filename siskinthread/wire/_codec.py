"""Bytes to frames and back."""

import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from siskinthread.errors import ProtocolError

LENGTH = struct.Struct(">I")

_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()


def encode_frame(frame):
    """Return the bytes of one frame, its length first.

    Parameters
    ----------
    frame : thrift union
        A union with exactly one field set.

    Returns
    -------
    bytes
    """
    transport = TMemoryBuffer()
    frame.write(_PROTOCOL_FACTORY.getProtocol(transport))
    body = transport.getvalue()
    return LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Cuts a byte stream into frames.

    Parameters
    ----------
    frame_class : type
        The thrift union that the peer sends.
    frame_limit_bytes : int
        Longest frame that is accepted.  Without it, one damaged length would make
        this side wait for, and store, up to 4 GiB.
    """

    __slots__ = ("_buffer", "_frame_class", "_frame_limit_bytes")

    def __init__(self, frame_class, frame_limit_bytes):
        self._buffer = bytearray()
        self._frame_class = frame_class
        self._frame_limit_bytes = frame_limit_bytes

    def feed(self, data):
        """Add received bytes and return the frames that are now whole.

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
            If a length is over the limit or a frame can't be read.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer, start)
            if length > self._frame_limit_bytes:
                raise ProtocolError(f"frame of {length} bytes is over the limit")
            body_start = start + LENGTH.size
            if len(buffer) - body_start < length:
                break
            start = body_start + length
            frames.append(self._decode(bytes(buffer[body_start:start])))
        del buffer[:start]
        return frames

    def _decode(self, body):
        frame = self._frame_class()
        try:
            frame.read(_PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(body)))
        except Exception as error:
            # The generated readers raise many unrelated types on damaged input
            # (EOFError, UnicodeDecodeError, TypeError, TProtocolException).  All of
            # them mean the same here; anything that slipped through would end the
            # connection's task without the peer being told why.
            raise ProtocolError(f"unreadable frame: {error!r}") from error
        return frame
