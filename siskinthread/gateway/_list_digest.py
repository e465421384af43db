"""Digest by which hosts compare their target lists."""

import hashlib

DIGEST_BYTES = 6


class ListDigest:
    """Digest of the target entries as the source lists them.

    Information from other origins, such as an answer of a leaving target, is not
    included, so that hosts that have read the same list have the same digest.

    Attributes
    ----------
    value : int
        The digest, of ``DIGEST_BYTES`` bytes; independent of the order of entries.
    """

    __slots__ = ("_parts", "value")

    def __init__(self):
        self._parts = {}
        self.value = 0

    def replace(self, entries):
        """Replace all entries by a list of `TargetEntry`."""
        self._parts.clear()
        self.value = 0
        for entry in entries:
            self.put(entry)

    def put(self, entry):
        """Add or update an entry."""
        part = _digest_entry(entry)
        self.value ^= part ^ self._parts.get(entry.listed_id, 0)
        self._parts[entry.listed_id] = part

    def remove(self, listed_id):
        """Remove an entry by its listed id, if it is present."""
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
