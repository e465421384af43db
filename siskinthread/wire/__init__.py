"""Frames between the system's processes: messages, codec and handshake.

A frame is a four-byte big-endian length followed by a thrift union in the compact
protocol.  The generated classes are committed; ``make generate`` regenerates them from
``thrift/``.
"""

from siskinthread.wire._channel import Channel, open_channel
from siskinthread.wire._codec import encode_frame, FrameDecoder, message_of
from siskinthread.wire._generated.frames.ttypes import (
    Acknowledge,
    CancelRequest,
    ConfigurationRecord,
    ConfigurationRequest,
    ConfigurationStatus,
    ConfigurationUpdate,
    ExpertSlots,
    ExpertsQuestion,
    ExpertsStatus,
    Frame,
    Header,
    Heartbeat,
    Hello,
    Leaving,
    LoadReport,
    OrderKind,
    OutcomeCode,
    Proof,
    RankOrder,
    RankReply,
    RankStatistics,
    RankStatisticsRequest,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResumeRequest,
    StartRequest,
)
from siskinthread.wire._handshake import Identity, PROTOCOL_VERSION, shake_hands
from siskinthread.wire._settings import PeerSettings

__all__ = [
    "PROTOCOL_VERSION",
    "Acknowledge",
    "CancelRequest",
    "Channel",
    "ConfigurationRecord",
    "ConfigurationRequest",
    "ConfigurationStatus",
    "ConfigurationUpdate",
    "ExpertSlots",
    "ExpertsQuestion",
    "ExpertsStatus",
    "Frame",
    "FrameDecoder",
    "Header",
    "Heartbeat",
    "Hello",
    "Identity",
    "Leaving",
    "LoadReport",
    "OrderKind",
    "OutcomeCode",
    "PeerSettings",
    "Proof",
    "RankOrder",
    "RankReply",
    "RankStatistics",
    "RankStatisticsRequest",
    "ResponseEnd",
    "ResponseHead",
    "ResponsePart",
    "ResumeRequest",
    "StartRequest",
    "encode_frame",
    "message_of",
    "open_channel",
    "shake_hands",
]
