"""Token text of the engine stand-in, computed from the request's content alone.

A resumed or repeated request gives the same bytes, and a test computes the whole
expected answer without asking an engine.
"""

import hashlib
import json

DEFAULT_MAX_TOKENS = 16
MODEL_FALLBACK = "unnamed"
VOCABULARY_SIZE = 256
DONE_EVENT = b"data: [DONE]\n\n"
_SEED = b"siskinthread stand-in tokens 1"


def _word(index):
    digest = hashlib.blake2b(_SEED + bytes([index]), digest_size=4).hexdigest()
    return f" w{index:02x}{digest}"


def _event(word):
    chunk = {
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": word}}],
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


WORDS = [_word(index) for index in range(VOCABULARY_SIZE)]
"""The words, by index."""

EVENTS = [_event(word) for word in WORDS]
"""The whole SSE event of each word; formatted once, since it is sent a lot."""


def token_count(body):
    """Return the number of tokens that the engine makes for a request.

    Parameters
    ----------
    body : dict
        The request as parsed from JSON.
    """
    return int(body.get("max_tokens", DEFAULT_MAX_TOKENS))


def token_indices(body):
    """Return the indices into the vocabulary of all tokens of an answer, as bytes."""
    content = json.dumps(
        [body.get("model", MODEL_FALLBACK), body.get("messages", [])], sort_keys=True
    )
    hasher = hashlib.shake_128(_SEED + content.encode())
    return hasher.digest(token_count(body))


def streamed_answer(body):
    """Return the whole expected body of a streamed answer, as bytes."""
    events = [EVENTS[index] for index in token_indices(body)]
    return b"".join(events) + DONE_EVENT


def whole_answer(body):
    """Return the whole expected body of an answer that is not streamed, as bytes."""
    indices = token_indices(body)
    text = "".join(WORDS[index] for index in indices)
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "length"}
    usage = {"completion_tokens": len(indices)}
    answer = {"object": "chat.completion", "choices": [choice], "usage": usage}
    return json.dumps(answer).encode()


def expected_answer(body):
    """Return the expected body for a request, streamed or whole as it asks."""
    return streamed_answer(body) if body.get("stream") else whole_answer(body)
