"""Digest of a target list, by which hosts tell whether they know the same."""

import hashlib

DIGEST_BYTES = 6


class ListDigest:
    """Digest of the entries as their source lists them.

    What this host has learnt in other ways, as by an answer of a target that leaves,
    is not part of it: two hosts that have read the same have the same digest.

    Attributes
    ----------
    value : int
        The digest; independent of the order in which entries came.
    """

    __slots__ = ("_parts", "value")

    def __init__(self):
        self._parts = {}
        self.value = 0

    def replace(self, entries):
        """Take the whole list of `TargetEntry`."""
        self._parts.clear()
        self.value = 0
        for entry in entries:
            self.put(entry)

    def put(self, entry):
        """Take an entry in, or its newer state."""
        part = _digest_entry(entry)
        self.value ^= part ^ self._parts.get(entry.listed_id, 0)
        self._parts[entry.listed_id] = part

    def remove(self, listed_id):
        """Take an entry out."""
        self.value ^= self._parts.pop(listed_id, 0)


def _digest_entry(entry):
    fields = (
        entry.instance_id,
        entry.service_name,
        entry.host,
        entry.port,
        entry.failure_domain,
        entry.slot_count,
        entry.is_leaving,
    )
    content = repr(fields).encode()
    return int.from_bytes(hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest())
