"""Prompt-prefix cache of the engine stand-in, with delayed and lost events."""

import collections
import json
import random
import time

import xxhash

PREFIX_LENGTH_BYTES = 2048
"""Length of the head of the messages that is the prompt's prefix."""


class CacheEvent:
    """A change of the cache."""

    __slots__ = ("kind", "prefix_key", "sequence", "visible_at_s")

    def __init__(self, sequence, kind, prefix_key, visible_at_s):
        self.sequence = sequence
        self.kind = kind
        self.prefix_key = prefix_key
        self.visible_at_s = visible_at_s

    def as_json(self):
        """Return the event as the protocol encodes it."""
        return {
            "sequence": self.sequence,
            "kind": self.kind,
            "prefix_key": self.prefix_key,
        }


class PrefixCache:
    """Cache that evicts the least recently used prefix.

    Its events become visible after a lag, and some are lost, which leaves gaps in their
    sequence numbers.

    Parameters
    ----------
    options : argparse.Namespace
        With ``cache_size``, ``cache_lag_s``, ``cache_loss`` and ``seed``.
    """

    __slots__ = ("_events", "_keys", "_next_sequence", "_options", "_random", "hits")

    def __init__(self, options):
        self._options = options
        self._random = random.Random(options.seed)
        self._keys = collections.OrderedDict()
        self._events = collections.deque(maxlen=options.cache_events_kept)
        self._next_sequence = 1
        self.hits = 0

    def touch(self, prefix_key):
        """Use a prefix; return whether it was in the cache."""
        if prefix_key in self._keys:
            self._keys.move_to_end(prefix_key)
            self.hits += 1
            return True
        self._keys[prefix_key] = True
        self._emit_event("stored", prefix_key)
        if len(self._keys) > self._options.cache_size:
            evicted, _ = self._keys.popitem(last=False)
            self._emit_event("evicted", evicted)
        return False

    def events(self, from_sequence):
        """Return the visible events from a sequence number on, as JSON values."""
        now_s = time.monotonic()
        return [
            event.as_json()
            for event in self._events
            if event.sequence >= from_sequence and event.visible_at_s <= now_s
        ]

    def _emit_event(self, kind, prefix_key):
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._random.random() < self._options.cache_loss:
            return
        visible_at_s = time.monotonic() + self._options.cache_lag_s
        self._events.append(CacheEvent(sequence, kind, prefix_key, visible_at_s))


def prefix_key(content):
    """Return the key of the prompt's prefix, computed as the entries compute it."""
    model = str(content.get("model", ""))
    digest = xxhash.xxh3_128(model.encode("utf-8", "surrogatepass"))
    left = PREFIX_LENGTH_BYTES
    for message in content.get("messages") or []:
        text = json.dumps(message, sort_keys=True).encode()[:left]
        digest.update(text)
        left -= len(text)
        if left <= 0:
            break
    return digest.hexdigest()
