"""Names of parts of prompts, beside those of whole requests."""

import hashlib

PART_PREFIX = "p"
NAME_BYTES = 11


def part_name(service_name, part_id):
    """Return the name under which a part of prompts is suspected.

    Parameters
    ----------
    service_name : str
        Service whose targets read it; another one may bear it.
    part_id : str
        The part.

    Returns
    -------
    str
        The same at any entry, and unlike the fingerprint of any request.
    """
    digest = hashlib.blake2b(digest_size=NAME_BYTES)
    for text in (service_name, part_id):
        data = text.encode()
        # With the lengths, no two different pairs give the same bytes.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return PART_PREFIX + digest.hexdigest()


def is_part(name):
    """Return whether a name in the register is that of a part of prompts."""
    return name.startswith(PART_PREFIX)
