"""Calls by kind of target."""

import functools

from siskinthread.targets._calls import PlainCall
from siskinthread.targets._engine_call import EngineCall
from siskinthread.targets._request import TargetRequest
from siskinthread.targets._target import EngineTarget, PlainTarget


@functools.singledispatch
def open_call(target, request):
    """Return the `Call` that runs a `TargetRequest` at a target."""
    raise TypeError(f"unknown kind of target: {type(target).__name__}")


@open_call.register
def _(target: EngineTarget, request):
    return EngineCall(target, request)


@open_call.register
def _(target: PlainTarget, request):
    return PlainCall(target, request)


@functools.singledispatch
def resume_call(target, request_id, offset_bytes):
    """Return a `Call` that continues a request which may run at the target.

    Parameters
    ----------
    target : Target
        The target.
    request_id : str
        Id under which the request was sent.
    offset_bytes : int
        Offset of the first byte of the body to be returned.

    Returns
    -------
    Call or None
        None if a target of this kind can't resume requests.
    """


@resume_call.register
def _(target: EngineTarget, request_id, offset_bytes):
    request = TargetRequest(request_id, "", 0, False, None, "GET", "/", [], b"")
    call = EngineCall(target, request, offset_bytes)
    # Another incarnation of this agent may have written it.
    call.written = True
    return call
