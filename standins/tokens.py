"""Token text of the engine stand-in, a pure function of the request's content.

A resumed or repeated request yields the same bytes, and a test computes the complete
expected answer without an engine.
"""

import hashlib
import json

DEFAULT_MAX_TOKENS = 16
DEFAULT_MODEL = "unnamed"
VOCABULARY_SIZE = 256
DONE_EVENT = b"data: [DONE]\n\n"
_SEED = b"siskinthread stand-in tokens 1"


def _token_text(index):
    digest = hashlib.blake2b(_SEED + bytes([index]), digest_size=4).hexdigest()
    return f" w{index:02x}{digest}"


def _event(text):
    chunk = {
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}}],
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


TOKEN_TEXTS = [_token_text(index) for index in range(VOCABULARY_SIZE)]
"""Text of each token of the vocabulary, by index."""

EVENTS = [_event(text) for text in TOKEN_TEXTS]
"""Complete SSE event of each token; formatted once, since events are sent often."""


def token_count(body):
    """Return the number of tokens that the engine generates for a request.

    Parameters
    ----------
    body : dict
        The request as parsed from JSON.
    """
    return int(body.get("max_tokens", DEFAULT_MAX_TOKENS))


def token_indices(body):
    """Return the vocabulary indices of all tokens of an answer, one byte each."""
    content = json.dumps(
        [body.get("model", DEFAULT_MODEL), body.get("messages", [])], sort_keys=True
    )
    hasher = hashlib.shake_128(_SEED + content.encode())
    return hasher.digest(token_count(body))


def streamed_answer(body):
    """Return the complete expected body of a streamed answer, as bytes."""
    events = [EVENTS[index] for index in token_indices(body)]
    return b"".join(events) + DONE_EVENT


def whole_answer(body):
    """Return the complete expected body of an answer that is not streamed, as bytes."""
    indices = token_indices(body)
    text = "".join(TOKEN_TEXTS[index] for index in indices)
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "length"}
    usage = {"completion_tokens": len(indices)}
    answer = {"object": "chat.completion", "choices": [choice], "usage": usage}
    return json.dumps(answer).encode()


def expected_answer(body):
    """Return the expected body for a request, streamed if the request asks for it."""
    return streamed_answer(body) if body.get("stream") else whole_answer(body)
