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
unhurried = settings(derandomize=True, deadline=None, max_examples=150)


def pieces_of(data, cuts):
    """Return `data` cut at the places of `cuts`."""
    places = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[start:stop] for start, stop in zip(places, places[1:], strict=False)]


@unhurried
@given(st.lists(frames, max_size=6), st.lists(st.integers(0, 10_000), max_size=8))
def test_frames_survive_any_chunking(sent, cuts):
    """Frames come out as they went in, however the bytes are cut up on the way."""
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    received = []
    for piece in pieces_of(b"".join(map(encode_frame, sent)), cuts):
        received += decoder.feed(piece)
    assert received == sent


@unhurried
@given(
    st.lists(frames, min_size=1, max_size=3),
    st.integers(0, 10_000),
    st.integers(1, 255),
    st.lists(st.integers(0, 10_000), max_size=3),
)
def test_damaged_bytes_raise_only_protocol_errors(sent, place, change, cuts):
    """A damaged byte gives frames or a `ProtocolError`, and nothing else.

    Symptom: a link's task dies of an unforeseen error.  Sequence: a peer of another
    version, or no peer of ours at all, sends bytes that are no frames.  Cause: the
    generated readers raise many unrelated types.
    """
    data = bytearray(b"".join(map(encode_frame, sent)))
    data[place % len(data)] ^= change
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    with contextlib.suppress(ProtocolError):
        for piece in pieces_of(bytes(data), cuts):
            for frame in decoder.feed(piece):
                assert isinstance(frame, Frame)


@unhurried
@given(st.binary(max_size=300))
def test_garbage_raises_only_protocol_errors(data):
    """Arbitrary bytes give frames or a `ProtocolError`, and nothing else."""
    with contextlib.suppress(ProtocolError):
        FrameDecoder(Frame, FRAME_LIMIT_BYTES).feed(data)


def test_length_over_the_limit_is_refused_before_it_is_stored():
    """A frame longer than the limit is refused on sight of its length."""
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    with pytest.raises(ProtocolError):
        decoder.feed(struct.pack(">I", FRAME_LIMIT_BYTES + 1))


def test_claimed_list_is_not_allocated():
    """A list that claims more items than its frame can hold is refused.

    Symptom: the process is killed for its memory.  Sequence: a peer that need not be
    authenticated sends a header list of two thousand million items in twenty bytes.
    Cause: the reader allocates the list before it reads the items.
    """
    whole = encode_frame(Frame(head=ResponseHead(5, 200, [Header("a", "b")])))
    list_start = whole.index(b"\x1c")
    body = whole[4:list_start] + b"\xfc\xff\xff\xff\xff\x07"
    with pytest.raises(ProtocolError, match="limit"):
        FrameDecoder(Frame, FRAME_LIMIT_BYTES).feed(struct.pack(">I", len(body)) + body)


def test_frame_whose_length_is_wrong_is_refused():
    """A frame may not end before or behind the place that its length states."""
    whole = encode_frame(Frame(part=ResponsePart(1, 0, b"abc")))
    longer = struct.pack(">I", len(whole) - 4 + 1) + whole[4:] + b"\x00"
    shorter = struct.pack(">I", len(whole) - 4 - 1) + whole[4:]
    for data in (longer, shorter):
        with pytest.raises(ProtocolError):
            FrameDecoder(Frame, FRAME_LIMIT_BYTES).feed(data)


def test_frame_of_an_unknown_kind_has_no_message():
    """A kind of frame that a newer version added is read as a frame without message."""
    struct_field_100 = b"\x0c\xc8\x01"
    body = struct_field_100 + STRUCT_STOP + STRUCT_STOP
    decoder = FrameDecoder(Frame, FRAME_LIMIT_BYTES)
    (frame,) = decoder.feed(struct.pack(">I", len(body)) + body)
    assert message_of(frame) is None
