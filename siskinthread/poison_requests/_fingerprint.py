"""Names of requests that are the same for each retry of a caller."""

import hashlib

# With 2^48 fingerprints, two of a million requests collide with a probability of 1 in
# 500; twice as many bytes make collisions negligible and are still short in datagrams.
FINGERPRINT_BYTES = 12
LENGTH_BYTES = 8


def fingerprint(host, path, caller, body):
    """Return the fingerprint of a request, hexadecimal.

    Parameters
    ----------
    host : str
        Name of the service in the request.
    path : str
        Path; a query is ignored.
    caller : str
        Client account; without it, a caller could have another caller's request
        blocked by sending the same one.
    body : bytes
        The body.

    Returns
    -------
    str
        The same for each retry of a request, on any host.  The id, the method, the
        query and the other headers are ignored: each retry has another id, and may
        state another deadline, page, hint or last event.
    """
    path = path.partition("?")[0]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (host.lower().encode(), path.encode(), caller.encode(), body):
        # The lengths keep the encoding of different requests distinct.
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
