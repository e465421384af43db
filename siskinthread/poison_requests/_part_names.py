"""Names of prompt parts, distinct from the fingerprints of requests."""

import hashlib

PART_PREFIX = "p"
NAME_BYTES = 11


def part_name(service_name, part_id):
    """Return the name of a prompt part.

    Parameters
    ----------
    service_name : str
        Service whose targets read the part; those of other services may tolerate it.
    part_id : str
        The part.

    Returns
    -------
    str
        The same on any host, and different from the fingerprint of any request.
    """
    digest = hashlib.blake2b(digest_size=NAME_BYTES)
    for text in (service_name, part_id):
        data = text.encode()
        # The lengths keep the encoding of different pairs distinct.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return PART_PREFIX + digest.hexdigest()


def is_part(name):
    """Return whether a name in the register belongs to a prompt part."""
    return name.startswith(PART_PREFIX)
