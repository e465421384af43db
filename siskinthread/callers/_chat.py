"""Read the body of a chat completion request."""

import json

import xxhash

from siskinthread.http_server import bad_request


class ChatBody:
    """The parts of a chat completion's body that the entry uses.

    Parameters
    ----------
    model : str
        Requested model.
    streams : bool
        Whether the caller asked for a stream of events.
    token_estimate : int
        Estimated tokens of the answer.
    prefix_key : str
        Digest of the model and the start of the messages.
    """

    __slots__ = ("model", "prefix_key", "streams", "token_estimate")

    def __init__(self, model, streams, token_estimate, prefix_key):
        self.model = model
        self.streams = streams
        self.token_estimate = token_estimate
        self.prefix_key = prefix_key


def read_chat_body(body, settings):
    """Return the `ChatBody` read from a body, or a `Refusal`."""
    try:
        document = json.loads(body, object_pairs_hook=_unique_members)
    except (ValueError, RecursionError) as error:
        return bad_request(f"The body can't be read as JSON: {error}.")
    if not isinstance(document, dict):
        return bad_request("The body must be a JSON object.")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return bad_request("The body must name a model.")
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return bad_request("The body must hold a list of messages.")
    streams = document.get("stream")
    if streams is not None and not isinstance(streams, bool):
        return bad_request("stream must be true or false.")
    tokens = _token_estimate(document, settings)
    if tokens is None:
        return bad_request("max_tokens must be a whole number above zero.")
    prefix_key = _prefix_key(model, messages, settings.prefix_head_bytes)
    return ChatBody(model, bool(streams), tokens, prefix_key)


def _unique_members(pairs):
    """Build an object and reject repeated names.

    If a body has two `model` members, the entry could check one and the engine use the
    other, so that a request would run without the checks for its model.
    """
    members = dict(pairs)
    if len(members) != len(pairs):
        raise ValueError("a name stands twice in one object")
    return members


def _token_estimate(document, settings):
    for name in ("max_completion_tokens", "max_tokens"):
        tokens = document.get(name)
        if tokens is None:
            continue
        if isinstance(tokens, int) and not isinstance(tokens, bool) and tokens > 0:
            return tokens
        return None
    return settings.default_token_estimate


def _prefix_key(model, messages, head_bytes):
    digest = xxhash.xxh3_128(model.encode("utf-8", "surrogatepass"))
    left_bytes = head_bytes
    for message in messages:
        text = json.dumps(message, sort_keys=True).encode()[:left_bytes]
        digest.update(text)
        left_bytes -= len(text)
        if left_bytes <= 0:
            break
    return digest.hexdigest()
