"""Hypothesis strategies for frames."""

from hypothesis import strategies as st

from siskinthread.wire import (
    Acknowledge,
    CancelRequest,
    Frame,
    Header,
    Heartbeat,
    Hello,
    Leaving,
    LoadReport,
    Proof,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResumeRequest,
    StartRequest,
)

_INT32 = st.integers(-(2**31), 2**31 - 1)
_INT64 = st.integers(-(2**63), 2**63 - 1)
_TEXT = st.text(max_size=20)
_BYTES = st.binary(max_size=200)
_HEADERS = st.lists(st.builds(Header, _TEXT, _TEXT), max_size=3)
_LOAD = st.builds(
    LoadReport, _INT32, _INT32, _INT32, _INT64, st.booleans(), st.booleans()
)

_SERVICES = st.lists(_TEXT, max_size=3)

_MESSAGES = {
    "hello": st.builds(Hello, _INT32, _TEXT, _TEXT, _TEXT, _TEXT, _BYTES, _SERVICES),
    "proof": st.builds(Proof, _TEXT, _BYTES),
    "heartbeat": st.builds(Heartbeat, _INT64, st.none() | _LOAD),
    "start": st.builds(
        StartRequest,
        attempt=_INT64,
        request_id=_TEXT,
        idempotency_key=st.none() | _TEXT,
        issued_at_ms=st.none() | _INT64,
        headers=_HEADERS,
        body=_BYTES,
    ),
    "resume": st.builds(
        ResumeRequest, attempt=_INT64, head_received=st.booleans(), offset_bytes=_INT64
    ),
    "acknowledge": st.builds(Acknowledge, _INT64, _INT64, st.booleans()),
    "cancel": st.builds(CancelRequest, _INT64, _TEXT),
    "head": st.builds(ResponseHead, _INT64, _INT32, _HEADERS),
    "part": st.builds(ResponsePart, _INT64, _INT64, _BYTES),
    "end": st.builds(
        ResponseEnd,
        _INT64,
        st.integers(1, 4),
        _INT64,
        _TEXT,
        _TEXT,
        st.none() | _INT64,
    ),
    "leaving": st.builds(Leaving, _INT64),
}


def _frame(name):
    return _MESSAGES[name].map(lambda message: Frame(**{name: message}))


frames = st.sampled_from(sorted(_MESSAGES)).flatmap(_frame)
