"""Tests of the frame codec."""

import contextlib
import struct

import pytest
from hypothesis import given, settings, strategies as st

from siskinthread.errors import ProtocolError
from siskinthread.wire import (
    encode_frame,
    Frame,
    FrameDecoder,
    Header,
    message_of,
    ResponseHead,
    ResponsePart,
)
from siskinthread.wire.tests.frame_strategies import frames

FRAME_LIMIT_BYTES = 4096
STRUCT_STOP = b"\x00"
without_deadline = settings(derandomize=True, deadline=None, max_examples=150)


def pieces_of(data, cuts):
    """Return `data` split at the positions of `cuts`."""
    positions = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [
        data[start:stop] for start, stop in zip(positions, positions[1:], strict=False)
    ]


@without_deadline
@given(st.lists(frames, max_size=6), st.lists(st.integers(0, 10_000), max_size=8))
def test_frames_survive_any_chunking(sent, cuts):
    """Frames are decoded unchanged however the bytes are split in transit."""
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    received = []
    for piece in pieces_of(b"".join(map(encode_frame, sent)), cuts):
        received += decoder.feed(piece)
    assert received == sent


@without_deadline
@given(
    st.lists(frames, min_size=1, max_size=3),
    st.integers(0, 10_000),
    st.integers(1, 255),
    st.lists(st.integers(0, 10_000), max_size=3),
)
def test_damaged_bytes_raise_only_protocol_errors(sent, position, change, cuts):
    """A damaged byte results in frames or a `ProtocolError`, and nothing else.

    A peer of another version, or a foreign client, sends bytes that are not frames.
    The generated readers raise many unrelated exceptions, which would end the task of
    the link.
    """
    data = bytearray(b"".join(map(encode_frame, sent)))
    data[position % len(data)] ^= change
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    with contextlib.suppress(ProtocolError):
        for piece in pieces_of(bytes(data), cuts):
            for frame in decoder.feed(piece):
                assert isinstance(frame, Frame)


@without_deadline
@given(st.binary(max_size=300))
def test_garbage_raises_only_protocol_errors(data):
    """Arbitrary bytes result in frames or a `ProtocolError`, and nothing else."""
    with contextlib.suppress(ProtocolError):
        FrameDecoder(Frame, FRAME_LIMIT_BYTES).feed(data)


def test_length_over_the_limit_is_refused_before_it_is_stored():
    """A frame over the limit is refused as soon as its length is read."""
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    with pytest.raises(ProtocolError):
        decoder.feed(struct.pack(">I", FRAME_LIMIT_BYTES + 1))


def test_claimed_list_is_not_allocated():
    """A list that declares more items than its frame can hold is refused.

    A possibly unauthenticated peer declares a header list of 2e9 items in twenty bytes.
    The reader allocates the list before it reads the items, and the process would be
    killed for its memory use.
    """
    whole = encode_frame(Frame(head=ResponseHead(5, 200, [Header("a", "b")])))
    list_start = whole.index(b"\x1c")
    body = whole[4:list_start] + b"\xfc\xff\xff\xff\xff\x07"
    with pytest.raises(ProtocolError, match="limit"):
        FrameDecoder(Frame, FRAME_LIMIT_BYTES).feed(struct.pack(">I", len(body)) + body)


def test_frame_whose_length_is_wrong_is_refused():
    """A frame whose end differs from its length is refused."""
    whole = encode_frame(Frame(part=ResponsePart(1, 0, b"abc")))
    longer = struct.pack(">I", len(whole) - 4 + 1) + whole[4:] + b"\x00"
    shorter = struct.pack(">I", len(whole) - 4 - 1) + whole[4:]
    for data in (longer, shorter):
        with pytest.raises(ProtocolError):
            FrameDecoder(Frame, FRAME_LIMIT_BYTES).feed(data)


def test_frame_of_an_unknown_kind_has_no_message():
    """A frame of a kind added by a newer version is decoded without a message."""
    struct_field_100 = b"\x0c\xc8\x01"
    body = struct_field_100 + STRUCT_STOP + STRUCT_STOP
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    (frame,) = decoder.feed(struct.pack(">I", len(body)) + body)
    assert message_of(frame) is None
